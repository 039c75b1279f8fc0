//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

func init() { scenarios["services"] = playServices }

// playServices: an operator sends a configuration whose routes name a service that it does not hold,
// since its list of services is empty. It must be refused, and the one before stays in force.
func playServices(rec *record, trouble bool) (bool, error) {
	s, _, err := deploy(rec, deployment{entries: 2, replicas: 3, slots: 6, serve: serveWhole(15 * time.Millisecond), service: plainService("wuno96b"), route: plainRoute("wuno96b")})
	if err != nil {
		return false, err
	}
	defer s.close()
	before := s.countServed("/pufi791/2f", 100)
	rec.say("before: %d of 100 requests are served", before)
	if before < 90 {
		return false, fmt.Errorf("only %d of 100 requests are served before the disruption", before)
	}
	acknowledged := false
	if trouble {
		invalid, _ := json.Marshal(config(9, []route{plainRoute("zeta404")}, []map[string]any{}))
		status, body, err := s.putConfig(s.of("control")[1], invalid)
		if err != nil {
			return false, err
		}
		acknowledged = status == http.StatusOK
		rec.say("the invalid configuration is answered with %d %s", status, body)
	}
	// The bound is config_apply_ms.
	time.Sleep(2500 * time.Millisecond)
	status, held := s.getConfig(s.of("control")[0])
	var version struct {
		Version int `json:"version"`
	}
	_ = json.Unmarshal(held, &version)
	after := s.countServed("/pufi791/2f", 100)
	rec.say("after: %d of 100 requests are served; a read of the configuration gives %d, version %d", after, status, version.Version)
	return acknowledged || version.Version == 9, nil
}

// plainRoute returns a route for requests that may be repeated.
func plainRoute(service string) route {
	return route{
		"name": "r-i6y7z5k", "host": host, "path_prefix": "/pufi791/", "route_type": "idempotent", "timeout_ms": 1000, "target_latency_ms": 100,
		"priority": 1, "service": service, "max_attempts": 2, "anonymous": false, "session_affinity": false, "stream_resumption": false,
	}
}

// serveWhole returns a function that answers with a short body after some work.
func serveWhole(work time.Duration) func(*lifetime, http.ResponseWriter, *http.Request) {
	return func(l *lifetime, w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		if sleep(q.Context(), work) {
			_, _ = fmt.Fprintf(w, "the answer of %s", l.replica.id)
		}
	}
}

// countServed sends requests one after the other and returns how many of them are answered with success.
func (s *system) countServed(path string, count int) int {
	entries := s.of("entry")
	served := 0
	for n := range count {
		attempt := newID()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		response, err := s.request(ctx, entries[n%len(entries)], http.MethodGet, path, attempt, nil, time.Second, nil)
		if err != nil {
			s.rec.add("requester: attempt %s: %v", attempt, err)
			cancel()
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		cancel()
		s.rec.add("requester: attempt %s: %d, seal %q, %s, %v", attempt, response.StatusCode, response.Header.Get("X-Comfreybend-Response-Seal"), body, err)
		if err == nil && response.StatusCode == http.StatusOK {
			served++
		}
	}
	return served
}
