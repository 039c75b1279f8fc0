//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// In the case of the encoded slash, a host has two routes: "/files/", open to all and served by file-app, and "/", for
// which a key is needed and which is served by orders-app. Requesters send "/files%2Forder-17" with the trouble, and
// "/files-order-17" without. Neither begins with "/files/".
const slashRequests = 40

func init() { cases["slash"] = playSlash }

func playSlash(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r, 284)
	if err != nil {
		return false, err
	}
	if err = s.start(3, 1); err != nil {
		return false, err
	}
	defer s.close()
	status, _, err := s.call(http.MethodPost, "/api/Config.Replace", slashConfig(), 30*time.Second)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("the config got %d: %w", status, err)
	}
	ran := map[string]*atomic.Int64{"file-app": {}, "orders-app": {}}
	for i, service := range []string{"file-app", "file-app", "orders-app", "orders-app"} {
		replica := &replica{id: fmt.Sprintf("i-%d", i), service: service, zone: string(rune('a' + i%2)), slots: 6}
		replica.serve = func(w http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			ran[service].Add(1)
			r.line("replica %s of %s runs %s: %s %s", replica.id, service, request.Header.Get("X-Comfreybend-Attempt-Id"), request.Method, request.RequestURI)
			w.Header().Set("Content-Length", "2")
			_, _ = io.WriteString(w, "ok")
		}
		if err = s.startReplica(replica, 31+i); err != nil {
			return false, err
		}
		defer replica.close()
	}
	if err = s.awaitReady(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	path := "/files-order-17"
	if trouble {
		path = "/files%2Forder-17"
	}
	answers := map[string]int{}
	for n := range slashRequests {
		// Every second request comes without a key.
		key := n%2 == 0
		id := newID()
		status, err := askSlash(s.address(11, portFrontend), path, id, key)
		r.line("request %s (key: %t) gets %d, %v", id, key, status, err)
		answers[fmt.Sprintf("key %t: %d", key, status)]++
	}
	r.line("answers: %v", answers)
	r.line("of %d requests to %s, %d were run by orders-app, to which the only route that begins the path leads, and %d by file-app",
		slashRequests, path, ran["orders-app"].Load(), ran["file-app"].Load())
	if ran["orders-app"].Load()+ran["file-app"].Load() == 0 {
		return false, fmt.Errorf("no request was run")
	}
	return ran["file-app"].Load() > 0, nil
}

func slashConfig() map[string]any {
	route := func(name, prefix, kind, service string, attempts int, anonymous bool) map[string]any {
		return map[string]any{
			"name": name, "host": prefixHost, "path_prefix": prefix, "route_type": kind, "timeout_ms": 3000, "target_latency_ms": 300,
			"priority": 0, "service": service, "max_attempts": attempts, "anonymous": anonymous,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false}
	}
	config := prefixConfig()
	config["routes"] = []any{
		route("r-files", "/files/", "idempotent", "file-app", 2, true), route("r-orders", "/", "non_idempotent", "orders-app", 1, false),
	}
	config["services"] = []any{service("file-app"), service("orders-app")}
	return config
}

func askSlash(address, path, id string, key bool) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	authorization := ""
	if key {
		authorization = "Authorization: Bearer " + prefixKey + "\r\n"
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Comfreybend-Attempt-Id: %s\r\nX-Comfreybend-Deadline-Ms: 3000\r\n%sContent-Length: 2\r\n\r\nhi",
		path, prefixHost, id, authorization)
	if err != nil {
		return 0, err
	}
	return readAnswer(bufio.NewReader(conn))
}
