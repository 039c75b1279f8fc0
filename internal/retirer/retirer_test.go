package retirer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// pipe returns a connection that keeps what may be written, and its other end, which is read.
func pipe(t *testing.T) *Conn {
	t.Helper()
	own, other := net.Pipe()
	t.Cleanup(func() { _, _ = own.Close(), other.Close() })
	go func() { _, _ = io.Copy(io.Discard, other) }()
	return &Conn{Conn: own}
}

// TestExchanges guards against requests on connections that may still bring an answer to another
// request, or to the same one.
func TestExchanges(t *testing.T) {
	tests := map[string]struct {
		// before are the requests that the connection has carried, of which the one at retired has failed;
		// -1 for none.
		before  []RequestID
		retired int
		request RequestID
		blocked bool
	}{
		"new connection":                 {request: "a", retired: -1},
		"after another request":          {before: []RequestID{"a"}, retired: -1, request: "b"},
		"the same request":               {before: []RequestID{"a", "b"}, retired: -1, request: "a", blocked: true},
		"after a failure":                {before: []RequestID{"a"}, retired: 0, request: "b", blocked: true},
		"after a failure noticed late":   {before: []RequestID{"a", "b"}, retired: 0, request: "c", blocked: true},
		"the request after it, too late": {before: []RequestID{"a", "b"}, retired: 1, request: "c", blocked: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conn := pipe(t)
			var exchanges []*Exchange
			for _, id := range test.before {
				exchanges = append(exchanges, Begin(conn, id, nil))
			}
			if test.retired >= 0 {
				exchanges[test.retired].Retire()
			}
			if exchange := Begin(conn, test.request, nil); exchange.Blocked() != test.blocked {
				t.Errorf("blocked: %t, want %t", exchange.Blocked(), test.blocked)
			}
			n, err := conn.Write([]byte("x"))
			if blocked := errors.As(err, new(*RetiredError)); blocked != test.blocked || blocked && n > 0 {
				t.Errorf("wrote %d bytes, error %v", n, err)
			}
		})
	}
}

// TestRetireSparesNextExchange guards against breaking the request to which the transport has given the
// connection meanwhile.
func TestRetireSparesNextExchange(t *testing.T) {
	conn := pipe(t)
	first := Begin(conn, "a", nil)
	second := Begin(conn, "b", nil)
	first.Retire()
	if _, err := conn.Write([]byte("x")); err != nil || second.Blocked() {
		t.Errorf("the exchange that had begun is broken: %v", err)
	}
	second.Retire()
	if _, err := conn.Write([]byte("x")); err == nil {
		t.Error("the connection was not closed")
	}
}

// TestRequestsAreForgotten checks that a connection carries any number of requests.
func TestRequestsAreForgotten(t *testing.T) {
	conn := pipe(t)
	for n := range 3 * rememberedRequests {
		if Begin(conn, RequestID(fmt.Sprint(n)), nil).Blocked() {
			t.Fatalf("request %d is blocked", n)
		}
	}
	if Begin(conn, "0", nil).Blocked() {
		t.Error("the first request is still remembered")
	}
}

// TestRequestIsNotSentAgain guards against a request that the transport sends once more on another
// connection although a part of it may have left on the one that broke.
func TestRequestIsNotSentAgain(t *testing.T) {
	tests := map[string]struct {
		write   bool
		blocked bool
	}{
		"a part has left":  {write: true, blocked: true},
		"nothing has left": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			own, other := net.Pipe()
			first := &Conn{Conn: own}
			before := Begin(first, "a", nil)
			if test.write {
				go func() { _, _ = other.Read(make([]byte, 1)) }()
				if _, err := first.Write([]byte("x")); err != nil {
					t.Fatal(err)
				}
			}
			_ = other.Close()
			_, _ = first.Read(make([]byte, 1))
			_, _ = first.Write([]byte("y"))
			second := pipe(t)
			exchange := Begin(second, "a", before)
			if exchange.Blocked() != test.blocked || errors.Is(exchange.ResendError(), io.EOF) != test.blocked {
				t.Errorf("blocked: %t, error %v; want blocked: %t", exchange.Blocked(), exchange.ResendError(), test.blocked)
			}
			if _, err := second.Write([]byte("x")); errors.As(err, new(*RetiredError)) != test.blocked {
				t.Errorf("error %v of the write", err)
			}
		})
	}
}

// TestUnsolicitedDataRetires guards against an answer too many that has arrived before the next request
// is written, and against a request on a connection that the other end has closed.
func TestUnsolicitedDataRetires(t *testing.T) {
	tests := map[string]struct {
		arrive func(net.Conn) error
		want   bool
	}{
		"an answer": {arrive: func(c net.Conn) error { _, err := c.Write([]byte("HTTP/1.1 503 x")); return err }, want: true},
		"the end":   {arrive: func(c net.Conn) error { return c.Close() }, want: true},
		"nothing":   {arrive: func(net.Conn) error { return nil }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			dialed, err := Wrap((&net.Dialer{}).DialContext)(t.Context(), "tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = dialed.Close() }()
			other, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = other.Close() }()
			conn, _ := dialed.(*Conn)
			Begin(conn, "a", nil)
			if _, err = conn.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			if _, err = other.Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			if err = test.arrive(other); err != nil {
				t.Fatal(err)
			}
			for end := time.Now().Add(5 * time.Second); conn.pending() != test.want && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			next := Begin(conn, "b", nil)
			_, err = conn.Write([]byte("y"))
			if errors.As(err, new(*RetiredError)) != test.want || next.Blocked() != test.want || next.Written() == test.want {
				t.Errorf("error %v, blocked: %t, written: %t; want the request blocked: %t", err, next.Blocked(), next.Written(), test.want)
			}
		})
	}
}

func ExampleBegin() {
	own, _ := net.Pipe()
	conn := &Conn{Conn: own}
	Begin(conn, "order-7", nil)
	fmt.Println(Begin(conn, "order-7", nil).Blocked())
	// Output: true
}
