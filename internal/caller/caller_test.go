package caller

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/pkg/timer"
)

const awaitTimeout = 30 * time.Second

func TestSend(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || string(body) != "count" || r.Header.Get("Holder") != "a" || r.Method != http.MethodPut {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusAccepted)
	}))
	defer server.Close()
	request := &Request{Method: http.MethodPut, URL: server.URL, Header: http.Header{"Holder": {"a"}}, Body: []byte("count")}
	if status, err := Send(t.Context(), request, awaitTimeout); err != nil || status != http.StatusAccepted {
		t.Errorf("status %d, error %v; want %d", status, err, http.StatusAccepted)
	}
}

// TestExpiredRequestIsNotDelivered guards against an order that arrives after the lease under which
// it was sent has ended: the kernel goes on sending what the other end has not acknowledged.
func TestExpiredRequestIsNotDelivered(t *testing.T) {
	// bodyBytes is more than the other end receives while it does not read, and less than the
	// kernel takes to be sent.
	const bodyBytes = 1 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	request := &Request{Method: http.MethodPost, URL: "http://" + l.Addr().String(), Header: http.Header{}, Body: bytes.Repeat([]byte("x"), bodyBytes)}
	if status, err := Send(t.Context(), request, 100*time.Millisecond); err == nil {
		t.Fatalf("status %d without a response", status)
	}
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err = conn.SetReadDeadline(time.Now().Add(awaitTimeout)); err != nil {
		t.Fatal(err)
	}
	if received, err := io.Copy(io.Discard, conn); err == nil || received >= bodyBytes {
		t.Errorf("%d bytes of a request with a body of %d arrived after the deadline, error %v", received, bodyBytes, err)
	}
}

func TestNoWriteAfterTheLimit(t *testing.T) {
	one, other := net.Pipe()
	defer func() { _, _ = one.Close(), other.Close() }()
	late := &expiringConn{Conn: one, deadline: timer.Now() - time.Second}
	var expired *ExpiredError
	if _, err := late.Write([]byte("x")); !errors.As(err, &expired) || expired.Late < time.Second {
		t.Errorf("error %v, want an ExpiredError of a second or more", err)
	}
}
