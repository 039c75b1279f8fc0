package retirer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
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
				exchanges = append(exchanges, Begin(conn, id))
			}
			if test.retired >= 0 {
				exchanges[test.retired].Retire()
			}
			if exchange := Begin(conn, test.request); exchange.Blocked() != test.blocked {
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
	first := Begin(conn, "a")
	second := Begin(conn, "b")
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
		if Begin(conn, RequestID(fmt.Sprint(n))).Blocked() {
			t.Fatalf("request %d is blocked", n)
		}
	}
	if Begin(conn, "0").Blocked() {
		t.Error("the first request is still remembered")
	}
}

func ExampleBegin() {
	own, _ := net.Pipe()
	conn := &Conn{Conn: own}
	Begin(conn, "order-7")
	fmt.Println(Begin(conn, "order-7").Blocked())
	// Output: true
}
