package dialer

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/pkg/timer"
)

const (
	// testBytes is more than the other end receives while it does not read, and less than the
	// kernel takes to be sent.
	testBytes    = 1 << 20
	testTimeout  = 300 * time.Millisecond
	awaitTimeout = 30 * time.Second
)

// pipe returns both ends of a connection, of which the first is watched.
func pipe(t *testing.T) (watched net.Conn, other *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	conn, err := (&net.Dialer{Control: DiscardOnClose(UserTimeout(awaitTimeout))}).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	tcp, _ := conn.(*net.TCPConn)
	if watched, err = watch(tcp, testTimeout); err != nil {
		t.Fatal(err)
	}
	other, _ = accepted.(*net.TCPConn)
	t.Cleanup(func() { _, _ = watched.Close(), other.Close() })
	for _, c := range []net.Conn{watched, other} {
		if err = c.SetReadDeadline(time.Now().Add(awaitTimeout)); err != nil {
			t.Fatal(err)
		}
	}
	return watched, other
}

// TestLocalAddress guards against connections that leave a host with several addresses from another
// one than that of the settings.
func TestLocalAddress(t *testing.T) {
	tests := map[string]struct{ local, wanted string }{
		"set":   {local: "127.0.0.3", wanted: "127.0.0.3"},
		"empty": {wanted: "127.0.0.1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			conn, err := Resetting(awaitTimeout, LocalAddr(test.local))(t.Context(), "tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if host, _, _ := net.SplitHostPort(conn.LocalAddr().String()); host != test.wanted {
				t.Errorf("local address %s, want %s", host, test.wanted)
			}
		})
	}
}

// TestUnacknowledgedDataIsDiscarded guards against data that arrives after the connection has
// failed because the other end did not acknowledge it.
func TestUnacknowledgedDataIsDiscarded(t *testing.T) {
	watched, other := pipe(t)
	began := time.Now()
	if n, err := watched.Write(make([]byte, testBytes)); err != nil || n != testBytes {
		t.Fatalf("wrote %d bytes, error %v", n, err)
	}
	_, err := watched.Read(make([]byte, 1))
	var unacknowledged *UnacknowledgedError
	if !errors.As(err, &unacknowledged) || !errors.Is(err, syscall.ETIMEDOUT) || time.Since(began) < testTimeout {
		t.Errorf("error %v after %v, want an UnacknowledgedError after %v", err, time.Since(began), testTimeout)
	}
	if _, err = watched.Write([]byte("x")); !errors.As(err, &unacknowledged) {
		t.Errorf("error %v of a write, want an UnacknowledgedError", err)
	}
	if received, err := io.Copy(io.Discard, other); err == nil || received >= testBytes {
		t.Errorf("%d of %d bytes arrived, error %v; want a part and a reset", received, testBytes, err)
	}
}

// TestSlowReaderIsNotReset guards against a reset of a connection whose other end acknowledges data
// slowly, or is silent while it has everything.
func TestSlowReaderIsNotReset(t *testing.T) {
	watched, other := pipe(t)
	sent := make(chan error, 1)
	go func() {
		_, err := watched.Write(make([]byte, 4*testBytes))
		sent <- err
	}()
	buffer := make([]byte, testBytes/4)
	for received, reads := 0, 0; received < 4*testBytes; reads++ {
		if reads < 8 {
			// The whole takes much longer than the timeout.
			timer.Sleep(t.Context(), testTimeout/3)
		}
		n, err := io.ReadFull(other, buffer)
		if err != nil {
			t.Fatalf("%v after %d bytes", err, received+n)
		}
		received += n
	}
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	timer.Sleep(t.Context(), 2*testTimeout)
	if _, err := other.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if n, err := watched.Read(make([]byte, 1)); err != nil || n != 1 {
		t.Errorf("read %d bytes, error %v; want the answer", n, err)
	}
}
