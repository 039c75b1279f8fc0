//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

type answer struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

var attempts atomic.Uint64

// ask sends a request on a new channel and reads the whole answer.
func (s *system) ask(ctx context.Context, h *host, method, target string, header map[string]string, body string, limit time.Duration) (a answer) {
	return s.askAs(ctx, fmt.Sprintf("%016x", 0x9c41d07be2a30000+attempts.Add(1)), h, method, target, header, body, limit)
}

// askAs is ask with an id.
func (s *system) askAs(ctx context.Context, id string, h *host, method, target string, header map[string]string, body string, limit time.Duration) (a answer) {
	a.id = id
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", s.address(h.ip, offsetFrontend))
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(limit + 2*time.Second))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Comfreybend-Attempt-Id: %s\r\nX-Comfreybend-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\nConnection: close\r\n",
		method, target, serverName, a.id, limit.Milliseconds(), apiKey, len(body))
	for name, value := range header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	head.WriteString("\r\n")
	if _, err = io.WriteString(conn, head.String()+body); err != nil {
		a.err = err
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	a.status, a.header, a.body, a.err = response.StatusCode, response.Header, string(content), err
	return a
}
