//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// In the case of the unknown service, the operator sends a config with a route that names a service which the config does
// not have, beside a split between services that it has. Without the trouble the route names one of these.
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
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("the first config got %d: %w", status, err)
	}
	// The check of the stand-in itself: a route that names nothing but an unknown service is refused.
	plain := slashConfig()
	plain["version"] = 8
	plain["routes"].([]any)[0].(map[string]any)["service"] = "gone-app"
	status, content, err := s.call(http.MethodPost, "/api/Config.Replace", plain, 10*time.Second)
	r.line("version 8, a route names an unknown service and has no split: %d %s", status, content)
	if err != nil || status/100 != 4 {
		return false, fmt.Errorf("the plain invalid config got %d: %w", status, err)
	}
	named := "file-app"
	if trouble {
		named = "gone-app"
	}
	config := slashConfig()
	config["version"] = 9
	route := config["routes"].([]any)[0].(map[string]any)
	route["service"] = named
	route["traffic_split"] = []any{map[string]any{"service": "file-app", "weight": 90}, map[string]any{"service": "orders-app", "weight": 10}}
	status, content, err = s.call(http.MethodPost, "/api/Config.Replace", config, 10*time.Second)
	r.line("version 9, a route names %s beside a split: %d %s", named, status, content)
	if err != nil {
		return false, err
	}
	_, held, err := s.call(http.MethodGet, "/api/Config.Get", nil, 10*time.Second)
	if err != nil {
		return false, err
	}
	inForce := strings.Contains(string(held), `"version":9`)
	r.line("a read of the config gives version 9: %t, and names gone-app: %t", inForce, strings.Contains(string(held), "gone-app"))
	if !trouble && !inForce {
		return false, fmt.Errorf("the valid config is not in force")
	}
	return trouble && (status == http.StatusOK || inForce), nil
}
