//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// In the case of long prompt lists, requesters stream answers through one entry process. With the trouble, each request
// lists as many parts as its header may hold (max_header_bytes of the config); without, it lists three.
const (
	prefixRate     = 250
	prefixTime     = 85 * time.Second
	prefixParts    = 1_320
	prefixMemoryMB = 284
	prefixHost     = "ficu95.example"
	prefixKey      = "n2ctnfzs989anu6wsjnb"
	// prefixEvents events come each prefixPause.
	prefixEvents = 5
	prefixPause  = 60 * time.Millisecond
)

func init() { cases["prefixes"] = playPrefixes }

type prefixPlay struct {
	system *system
	record *record
	parts  int

	mu sync.Mutex
	// arrived holds the ids of the requests that a replica has begun to run.
	arrived map[string]bool

	sent, whole, refused, failed, lost atomic.Int64
}

func playPrefixes(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r, prefixMemoryMB)
	if err != nil {
		return false, err
	}
	if err = s.start(3, 1); err != nil {
		return false, err
	}
	defer s.close()
	p := &prefixPlay{system: s, record: r, parts: 3, arrived: map[string]bool{}}
	if trouble {
		p.parts = prefixParts
	}
	status, _, err := s.call(http.MethodPost, "/api/Config.Replace", prefixConfig(), 30*time.Second)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("the config got %d: %w", status, err)
	}
	for i := range 4 {
		replica := &replica{id: fmt.Sprintf("i-%d", i), service: "pool", zone: string(rune('a' + i%2)), serve: p.answer}
		replica.onRequest = func(request *http.Request) {
			p.mu.Lock()
			p.arrived[request.Header.Get("X-Comfreybend-Attempt-Id")] = true
			p.mu.Unlock()
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
	m := s.entries[0]
	r.line("%d requests a second, each with %d parts of its prompt", prefixRate, p.parts)
	done := make(chan struct{})
	go p.report(m, done)
	p.run()
	close(done)
	m.mu.Lock()
	defer m.mu.Unlock()
	r.line("%d requests sent: %d whole answers, %d refused as not run (429, 503), %d failed otherwise", p.sent.Load(), p.whole.Load(), p.refused.Load(), p.failed.Load())
	r.line("%d requests on kept channels were passed on to a sound replica, and their channel ended without a complete answer", p.lost.Load())
	r.line("the entry process took %d MB at the most of %d MB; it was over that %d times and ended by itself %d times in all",
		m.peakMB, prefixMemoryMB, m.overMemory, m.ends)
	if p.whole.Load() < 1000 {
		return false, fmt.Errorf("only %d requests were served", p.whole.Load())
	}
	return p.lost.Load() > 3, nil
}

// report records each second what has been sent, run and answered.
func (p *prefixPlay) report(m *machine, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
		p.mu.Lock()
		ran := len(p.arrived)
		p.mu.Unlock()
		m.mu.Lock()
		mb := m.peakMB
		m.mu.Unlock()
		p.record.line("%d requests sent, %d run, %d answered whole; the entry process has taken %d MB", p.sent.Load(), ran, p.whole.Load(), mb)
	}
}

func prefixConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-chat", "host": prefixHost, "path_prefix": "/lohu930/", "route_type": "streaming", "timeout_ms": 12000,
			"target_latency_ms": 2000, "priority": 0, "service": "pool", "max_attempts": 2, "anonymous": false,
			"session_affinity": true, "stream_resumption": false, "target_itl_ms": 500,
		}},
		"services": []any{map[string]any{
			"name": "pool", "health_path": "/healthz", "max_connections": 2000, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 458024, "kv_token_bytes": 18432, "link_mbps": 180000.0, "moves": true, "backups": true,
				"stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "kv_ttl_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{prefixKey}, "priority": 1}},
	}
}

// answer streams a few events.
func (p *prefixPlay) answer(w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Comfreybend-Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	for i := range prefixEvents {
		time.Sleep(prefixPause)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i+1, i+1)
		_ = http.NewResponseController(w).Flush()
	}
}

// run sends the requests on channels that are kept.
func (p *prefixPlay) run() {
	idle := make(chan *channel, prefixRate*10)
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / prefixRate)
	defer ticker.Stop()
	for end := time.Now().Add(prefixTime); time.Now().Before(end); {
		<-ticker.C
		var c *channel
		select {
		case c = <-idle:
		default:
			c = &channel{}
		}
		group.Go(func() {
			if p.ask(c) {
				idle <- c
			}
		})
		if p.lost.Load() > 3 {
			// The rule is broken; what is under way still ends.
			break
		}
	}
	group.Wait()
}

// channel is a requester's connection.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	// used counts the requests that were answered on it.
	used int
}

// ask sends one request, and reports whether the channel may be used again.
func (p *prefixPlay) ask(c *channel) bool {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", p.system.address(11, portFrontend), time.Second)
		if err != nil {
			p.failed.Add(1)
			return false
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	id := fmt.Sprintf("%016x", rand.Uint64())
	p.sent.Add(1)
	_ = c.conn.SetDeadline(time.Now().Add(12 * time.Second))
	_, err := io.WriteString(c.conn, p.request(id))
	if err == nil {
		err = p.read(c)
	}
	if err == nil {
		c.used++
		return true
	}
	_ = c.conn.Close()
	p.mu.Lock()
	arrived := p.arrived[id]
	p.mu.Unlock()
	p.failed.Add(1)
	if arrived && c.used > 0 {
		p.lost.Add(1)
		p.record.line("request %s, on a channel that had carried %d, was run by a replica; its channel ends: %v", id, c.used, err)
	}
	return false
}

// read reads an answer, and counts it.
func (p *prefixPlay) read(c *channel) error {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	switch {
	case err != nil:
		return err
	case response.StatusCode == http.StatusOK:
		p.whole.Add(1)
	case response.StatusCode == http.StatusServiceUnavailable, response.StatusCode == http.StatusTooManyRequests:
		p.refused.Add(1)
	default:
		p.failed.Add(1)
	}
	return nil
}

// request returns a request whose prompt has the parts of its own session and one more.
func (p *prefixPlay) request(id string) string {
	var prefix strings.Builder
	for i := range p.parts {
		if i > 0 {
			prefix.WriteByte(',')
		}
		prefix.WriteString(strconv.FormatUint(uint64(rand.Uint32())|1<<31, 16) + ":" + strconv.Itoa(10+i%90))
	}
	return "POST /lohu930/2f HTTP/1.1\r\nHost: " + prefixHost + "\r\nX-Comfreybend-Attempt-Id: " + id +
		"\r\nX-Comfreybend-Model: m\r\nX-Comfreybend-Token-Usage: 1460,80\r\nX-Comfreybend-Prompt-Prefix: " + prefix.String() +
		"\r\nX-Comfreybend-Deadline-Ms: 8000\r\nAuthorization: Bearer " + prefixKey + "\r\nContent-Length: 2\r\n\r\nhi"
}
