//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	apiKey = "numberctnfzs989anu6wsjnb"
	tenant = "hule930"
	host   = "ficu95.example"
)

type (
	// route is a route of the configuration.
	route map[string]any

	// event is one event of a stream as a requester gets it.
	event struct {
		id      int
		version string
		replica string
	}

	// try is one attempt for a stream.
	try struct {
		sentAt       time.Time
		eventsBefore int
	}

	// stream is a requester's stream over all its tries.
	stream struct {
		attempts []string
		statuses []string
		events   []event
		tries    []try
		// complete reports that an answer ended as one that is complete.
		complete bool
	}
)

// config returns a configuration with routes and services.
func config(version int, routes []route, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// engineService returns the declaration of a service of model replicas.
func engineService(name string, slots int) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_connections": 620, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": slots, "kv_capacity_tokens": 846590, "kv_token_bytes": 18432, "link_mbps": 180000.0, "moves": true, "backups": true,
			"stride": 5, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "kv_ttl_s": 5.0, "models": []map[string]any{{"name": "m"}},
		},
	}
}

// plainService returns the declaration of a service that is no model.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 620, "protocol": "h1", "tls": false}
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// requesterClient opens a new channel for each request.
var requesterClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// request sends one requester attempt to an entry process.
func (s *system) request(ctx context.Context, m *machine, method, path, attempt string, body []byte, timeLimit time.Duration, more map[string]string) (*http.Response, error) {
	return s.requestWith(ctx, requesterClient, m, method, path, attempt, body, timeLimit, more)
}

func (s *system) requestWith(ctx context.Context, client *http.Client, m *machine, method, path, attempt string, body []byte, timeLimit time.Duration, more map[string]string) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+s.address(m.ip, offsetFrontend)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Host = host
	q.Header.Set("X-Comfreybend-Attempt-Id", attempt)
	q.Header.Set("Authorization", "Bearer "+apiKey)
	q.Header.Set("X-Comfreybend-Deadline-Ms", strconv.FormatInt(timeLimit.Milliseconds(), 10))
	for name, value := range more {
		q.Header.Set(name, value)
	}
	return client.Do(q)
}

// runStream sends a request for a stream, and takes the stream up once if it breaks.
func (s *system) runStream(entries []*machine, n int, path string, timeLimit time.Duration) *stream {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	st := &stream{}
	first := ""
	for number := range 2 {
		attempt := newID()
		headers := map[string]string{}
		if len(st.events) > 0 {
			headers["Last-Event-Id"], headers["Resumes"] = strconv.Itoa(st.events[len(st.events)-1].id), first
		}
		st.attempts = append(st.attempts, attempt)
		deadline, _ := ctx.Deadline()
		before := len(st.events)
		st.tries = append(st.tries, try{sentAt: time.Now(), eventsBefore: before})
		status := s.readStream(ctx, entries[(n+number)%len(entries)], path, attempt, time.Until(deadline), headers, st)
		if before == 0 && len(st.events) > 0 {
			first = attempt
		}
		st.statuses = append(st.statuses, status)
		s.rec.add("requester: attempt %s at %s: %s, %d events so far, versions %v", attempt, entries[(n+number)%len(entries)].name, status, len(st.events), st.versions())
		if st.complete || ctx.Err() != nil || strings.HasPrefix(status, "4") {
			break
		}
	}
	return st
}

// readStream reads the answer to one attempt and returns how it ended.
func (s *system) readStream(ctx context.Context, m *machine, path, attempt string, timeLimit time.Duration, headers map[string]string, st *stream) string {
	response, err := s.request(ctx, m, http.MethodPost, path, attempt, []byte(`{"prompt":"a question"}`), timeLimit, headers)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, 4<<10))
		return fmt.Sprintf("%d %s", response.StatusCode, body)
	}
	reader := bufio.NewReader(response.Body)
	e := event{}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			st.complete = err == io.EOF && line == ""
			return fmt.Sprintf("200, ended with %v", err)
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "":
			st.events = append(st.events, e)
			e = event{}
		case strings.HasPrefix(line, "id:"):
			e.id, _ = strconv.Atoi(strings.TrimSpace(line[3:]))
		case strings.HasPrefix(line, "data: piece "):
			fields := strings.Fields(line)
			e.version, e.replica = fields[4], fields[6]
		}
	}
}

// versions returns the software versions of the replicas that wrote the events, in their order.
func (st *stream) versions() []string {
	var out []string
	for _, e := range st.events {
		if len(out) == 0 || out[len(out)-1] != e.version {
			out = append(out, e.version)
		}
	}
	return out
}
