//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// In the case of the crashing part, one shared part of a prompt crashes each replica that begins to write an answer on it.
// Sound requests share their first part and their caller with those. Without the trouble the part crashes nothing.
const (
	partEntries  = 4
	partReplicas = 8
	// partPause is the time between two sound requests; with every second one comes one that lists the crashing part.
	partPause   = 25 * time.Millisecond
	partDown    = 3 * time.Second
	partBefore  = 18 * time.Second
	partFor     = 22 * time.Second
	partContact = 3 * time.Second
	// partMost is the number of requests with the part that may still come.
	partMost   = 3
	deadlyPart = "deadbeef"
)

func init() { cases["part"] = playPart }

type partPlay struct {
	system *system
	record *record
	deadly bool

	mu      sync.Mutex
	crashes []time.Time
	late    int
	begun   sync.Map
}

// mortal is a replica that crashes.
type mortal struct {
	play *partPlay
	last int

	mu      sync.Mutex
	replica *replica
	conns   map[net.Conn]bool
	down    bool
}

func (m *mortal) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns, m.down = map[net.Conn]bool{}, false
	m.replica = &replica{id: fmt.Sprintf("i-%d", m.last), service: "pool", zone: string(rune('a' + m.last%2))}
	r := m.replica
	r.serve = func(w http.ResponseWriter, request *http.Request) { m.answer(w, request) }
	r.onConn = func(conn net.Conn) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.conns[conn] = true
	}
	return m.play.system.startReplica(r, m.last)
}

func (m *mortal) crash() {
	m.mu.Lock()
	if m.down {
		m.mu.Unlock()
		return
	}
	m.down = true
	m.replica.close()
	for conn := range m.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	m.mu.Unlock()
	p := m.play
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	p.record.line("i-%d crashes (%d)", m.last, len(p.crashes))
	p.mu.Unlock()
	time.AfterFunc(partDown, func() {
		if !p.system.isClosed() {
			_ = m.start()
		}
	})
}

func (m *mortal) answer(w http.ResponseWriter, request *http.Request) {
	p := m.play
	_, _ = io.Copy(io.Discard, request.Body)
	deadly := strings.Contains(request.Header.Get("X-Comfreybend-Prompt-Prefix"), deadlyPart)
	if deadly {
		p.mu.Lock()
		if len(p.crashes) >= 5 && time.Since(p.crashes[4]) > partContact {
			p.late++
			p.record.line("request %s with the part reaches i-%d %v after the fifth crash", request.Header.Get("X-Comfreybend-Attempt-Id"), m.last, time.Since(p.crashes[4]))
		}
		p.mu.Unlock()
	}
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Comfreybend-Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	p.begun.Store(request.Header.Get("X-Comfreybend-Attempt-Id"), true)
	for i := range 10 {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
		if deadly && p.deadly {
			m.crash()
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i+1, i+1)
		_ = http.NewResponseController(w).Flush()
	}
}

func playPart(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r, 284)
	if err != nil {
		return false, err
	}
	if err = s.start(3, partEntries); err != nil {
		return false, err
	}
	defer s.close()
	config := prefixConfig()
	config["routes"].([]any)[0].(map[string]any)["stream_resumption"] = true
	if status, _, err := s.call(http.MethodPost, "/api/Config.Replace", config, 30*time.Second); err != nil || status != 200 {
		return false, fmt.Errorf("config %d %w", status, err)
	}
	p := &partPlay{system: s, record: r, deadly: trouble}
	for i := range partReplicas {
		if err = (&mortal{play: p, last: 31 + i}).start(); err != nil {
			return false, err
		}
	}
	if err = s.awaitReady(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var calm, sound share
	var group sync.WaitGroup
	var statuses sync.Map
	ask := func(n int, middle string, count *share) {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", s.address(11+n%partEntries, portFrontend), time.Second)
			if err != nil {
				return
			}
			defer conn.Close()
			id := newID()
			_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
			request := strings.Replace(strings.Replace(streamRequest(id, 16), strings.Repeat("x", 16), id, 1), "5c1e07a2:800,91bd3f06:410,e4402b7d:250", "c0ffee01:800,"+middle+":400,"+id[:8]+":260", 1)
			_, _ = io.WriteString(conn, request)
			status, code, err := readRefusal(bufio.NewReader(conn))
			_, begun := p.begun.Load(id)
			if count != nil {
				count.sent.Add(1)
				if begun {
					count.served.Add(1)
				}
			}
			key := fmt.Sprintf("%t, %d %s, %t", middle == deadlyPart, status, code, err != nil)
			c, _ := statuses.LoadOrStore(key, new(atomic.Int64))
			c.(*atomic.Int64).Add(1)
		})
	}
	began := time.Now()
	for n := 0; time.Since(began) < partBefore+partFor; n++ {
		p.mu.Lock()
		var count *share
		switch {
		case time.Since(began) < partBefore:
			count = &calm
		case len(p.crashes) >= 5 && time.Since(p.crashes[4]) > 2*partContact, !trouble:
			count = &sound
		}
		p.mu.Unlock()
		ask(n, fmt.Sprintf("900d000%d", n%5), count)
		if n%2 == 0 && time.Since(began) >= partBefore {
			ask(n/2, deadlyPart, nil)
		}
		time.Sleep(partPause)
	}
	group.Wait()
	statuses.Range(func(k, v any) bool { r.line("deadly, status, cut %v: %d", k, v.(*atomic.Int64).Load()); return true })
	r.line("%d crashes; %d requests with the part reached replicas later than contact_ms after the fifth", len(p.crashes), p.late)
	r.line("sound requests that began: %s before, %s from 2 x contact_ms after the fifth crash", &calm, &sound)
	if calm.served.Load() < calm.sent.Load()/2 {
		return false, fmt.Errorf("of %d requests before the trouble %d began", calm.sent.Load(), calm.served.Load())
	}
	return p.late > partMost, nil
}

// readRefusal reads an answer. Of a refusal it returns the code.
func readRefusal(reader *bufio.Reader) (status int, code string, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(response.Body)
	var refusal struct {
		Error string `json:"error"`
	}
	if response.StatusCode != http.StatusOK {
		_ = json.Unmarshal(body, &refusal)
	}
	return response.StatusCode, refusal.Error, err
}
