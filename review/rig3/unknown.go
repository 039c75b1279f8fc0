//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// In the case of the unknown service, the operator sends a config that was left half edited: a route names a service which
// the config does not have, beside a split between services that it has, and the route of the orders is missing. Without
// the trouble it is not sent.
const unknownRequests = 20

func init() { cases["unknown"] = playUnknown }

func playUnknown(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r, 284)
	if err != nil {
		return false, err
	}
	if err = s.start(3, 1); err != nil {
		return false, err
	}
	defer s.close()
	status, _, err := s.call(http.MethodPost, "/api/Config.Replace", slashConfig(), 30*time.Second)
	r.line("version 7, valid: %d", status)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("the first config got %d: %w", status, err)
	}
	for i, service := range []string{"file-app", "orders-app"} {
		replica := &replica{id: fmt.Sprintf("i-%d", i), service: service, zone: "a", slots: 6}
		replica.serve = func(w http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			r.line("%s of %s runs %s", replica.id, service, request.Header.Get("X-Comfreybend-Attempt-Id"))
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
	time.Sleep(4 * time.Second)
	before := s.askOrders(r)
	if before < unknownRequests {
		return false, fmt.Errorf("only %d of %d orders were served at first", before, unknownRequests)
	}
	// The check of the stand-in itself: the same config is refused if the route has no split.
	status, _, err = s.invalid(r, 8, false)
	if err != nil || status/100 != 4 {
		return false, fmt.Errorf("the plain invalid config got %d: %w", status, err)
	}
	acknowledged := false
	if trouble {
		if status, _, err = s.invalid(r, 9, true); err != nil {
			return false, err
		}
		acknowledged = status == http.StatusOK
	}
	time.Sleep(3 * time.Second)
	_, held, err := s.call(http.MethodGet, "/api/Config.Get", nil, 10*time.Second)
	if err != nil {
		return false, err
	}
	inForce := strings.Contains(string(held), "gone-app")
	after := s.askOrders(r)
	r.line("the invalid config is acknowledged: %t, and read back: %t; %d of %d orders were served before and %d after", acknowledged, inForce, before, unknownRequests, after)
	if !trouble && after < unknownRequests {
		return false, fmt.Errorf("only %d of %d orders were served", after, unknownRequests)
	}
	return acknowledged || inForce, nil
}

// invalid sends the half edited config.
func (s *system) invalid(r *record, version int, split bool) (int, []byte, error) {
	config := slashConfig()
	config["version"] = version
	routes := config["routes"].([]any)[:1]
	config["routes"] = routes
	route := routes[0].(map[string]any)
	route["service"] = "gone-app"
	if split {
		route["traffic_split"] = []any{map[string]any{"service": "file-app", "weight": 90}, map[string]any{"service": "orders-app", "weight": 10}}
	}
	status, content, err := s.call(http.MethodPost, "/api/Config.Replace", config, 10*time.Second)
	r.line("version %d, a route names gone-app (with a split: %t) and the route of the orders is missing: %d %s", version, split, status, content)
	return status, content, err
}

// askOrders sends orders and returns how many were served.
func (s *system) askOrders(r *record) int {
	served := 0
	for range unknownRequests {
		id := newID()
		status, err := askSlash(s.address(11, portFrontend), "/order", id, true)
		r.line("order %s gets %d, %v", id, status, err)
		if err == nil && status == http.StatusOK {
			served++
		}
	}
	return served
}
