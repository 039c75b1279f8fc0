package bounder

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"golang.org/x/sys/unix"
)

// wrappingConn is a connection around another one, as that of TLS.
type wrappingConn struct {
	net.Conn
	inner net.Conn
}

func (c *wrappingConn) NetConn() net.Conn { return c.inner }

// TestGrow guards against large bodies that come through the small buffer, small ones that take a large one, and windows
// that stay large.
func TestGrow(t *testing.T) {
	usual := options{window: usualBuffer}
	tests := map[string]struct {
		bytes int64
		set   []options
	}{
		"small":      {bytes: usualBuffer},
		"large":      {bytes: 100 << 10, set: []options{{buffer: 100 << 10, window: 100 << 10}, usual}},
		"very large": {bytes: 4 << 20, set: []options{{buffer: largestBuffer, window: largestBuffer}, usual}},
	}
	for name, test := range tests {
		var got []options
		b := &Bounder{set: func(_ net.Conn, o options) { got = append(got, o) }}
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r = r.WithContext(b.ConnContext(r.Context(), &wrappingConn{}))
		c := From(r)
		for range 2 {
			c.Grow(test.bytes)
		}
		c.Shrink()
		c.Shrink()
		if len(got) != len(test.set) {
			t.Fatalf("%s: %v was set, want %v", name, got, test.set)
		}
		for n, o := range test.set {
			if got[n] != o {
				t.Errorf("%s: %v was set, want %v", name, got, test.set)
			}
		}
		r.ProtoMajor = 2
		if From(r) != nil {
			t.Errorf("%s: a connection that carries other requests has been returned", name)
		}
	}
	var none *Conn
	none.Grow(1 << 20)
	none.Shrink()
	none.Interrupt()
}

// TestWrap guards against accepted connections whose receive buffers grow by themselves.
func TestWrap(t *testing.T) {
	const memory = 32 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l = New(memory).Wrap(l)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	buffer := 0
	control(conn, func(fd int) { buffer, _ = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF) })
	// Linux counts twice the size, for its own records.
	if buffer != usualBuffer && buffer != 2*usualBuffer {
		t.Errorf("a receive buffer of %d bytes, want %d", buffer, usualBuffer)
	}
	set(&wrappingConn{}, options{buffer: usualBuffer, window: usualBuffer})
	if b := New(0); b.Wrap(l) != l {
		t.Error("a listener without memory is changed")
	}
}
