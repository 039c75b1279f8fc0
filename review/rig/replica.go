//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type (
	// replica is the stand-in of a server that the pages describe. Each start is a new lifetime.
	replica struct {
		sys     *system
		id      string
		ip      string
		service string
		slots   int
		// serve answers a request that the replica runs.
		serve func(l *lifetime, w http.ResponseWriter, r *http.Request)

		mu   sync.Mutex
		life *lifetime
		// cutUntil is the time until which the replica has no path to the control addresses.
		cutUntil time.Time
		control  int
	}

	// lifetime is a replica from a start to its end.
	lifetime struct {
		replica *replica
		version string
		born    int64

		mu       sync.Mutex
		listener net.Listener
		conns    map[net.Conn]bool
		sequence int
		acked    int
		running  int
		ended    chan struct{}
		isEnded  bool
	}

	// tracked is a listener that knows its connections.
	tracked struct {
		net.Listener
		life *lifetime
	}
)

func (s *system) newReplica(n int, service string, slots int, serve func(*lifetime, http.ResponseWriter, *http.Request)) *replica {
	return &replica{sys: s, id: fmt.Sprintf("i-%08x", 0x7f3a9000+n), ip: s.net + strconv.Itoa(61+n), service: service, slots: slots, serve: serve}
}

func (r *replica) address() string { return r.sys.address(r.ip, offsetReplica) }

// Accept implements net.Listener.
func (t *tracked) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err == nil {
		t.life.mu.Lock()
		t.life.conns[conn] = true
		t.life.mu.Unlock()
	}
	return conn, err
}

// start begins a lifetime with a version of the software.
func (r *replica) start(version string) error {
	listener, err := net.Listen("tcp", r.address())
	if err != nil {
		return err
	}
	l := &lifetime{replica: r, version: version, born: time.Now().UnixMilli(), listener: listener, conns: map[net.Conn]bool{}, ended: make(chan struct{})}
	r.mu.Lock()
	r.life = l
	r.mu.Unlock()
	r.sys.rec.add("replica %s starts, version %s, born %d", r.id, version, l.born)
	server := &http.Server{Handler: http.HandlerFunc(l.handle), ReadHeaderTimeout: 5 * time.Second, ConnState: func(c net.Conn, s http.ConnState) {
		if s == http.StateClosed {
			l.mu.Lock()
			delete(l.conns, c)
			l.mu.Unlock()
		}
	}}
	go func() { _ = server.Serve(&tracked{Listener: listener, life: l}) }()
	go l.beat()
	return nil
}

// crash ends the lifetime: nothing is said, and all channels are reset.
func (r *replica) crash() {
	r.mu.Lock()
	l := r.life
	r.mu.Unlock()
	l.mu.Lock()
	if l.isEnded {
		l.mu.Unlock()
		return
	}
	l.isEnded = true
	close(l.ended)
	_ = l.listener.Close()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	l.mu.Unlock()
	r.sys.rec.add("replica %s crashes, version %s, born %d", r.id, l.version, l.born)
}

// beat sends heartbeats until the lifetime ends.
func (l *lifetime) beat() {
	for {
		l.replica.mu.Lock()
		cut := time.Until(l.replica.cutUntil) > 0
		l.replica.mu.Unlock()
		if !cut {
			l.sendBeat()
		}
		select {
		case <-l.ended:
			return
		case <-time.After(heartbeatMS * time.Millisecond):
		}
	}
}

// sendBeat sends a heartbeat to one machine after the other until one acknowledges it.
func (l *lifetime) sendBeat() {
	r := l.replica
	l.mu.Lock()
	l.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address(), "zone": zone, "version": l.version, "slots": r.slots, "state": "ready", "warmup_left_ms": 0,
		"stage": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": l.sequence, "born": l.born,
	})
	l.mu.Unlock()
	machines := r.sys.of("control")
	for range machines {
		select {
		case <-l.ended:
			return
		default:
		}
		m := machines[r.control%len(machines)]
		response, err := operatorClient.Post("http://"+r.sys.address(m.ip, offsetControl)+"/api/Instances.Heartbeat/"+r.id, "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 8<<10))
			_ = response.Body.Close()
			if response.StatusCode/100 == 2 {
				l.mu.Lock()
				l.acked++
				first := l.acked == 1
				l.mu.Unlock()
				if first {
					r.sys.rec.add("first heartbeat of %s, version %s, is acknowledged by %s", r.id, l.version, m.name)
				}
				return
			}
		}
		r.control++
	}
}

// isRegistered reports whether a heartbeat of the present lifetime was acknowledged.
func (r *replica) isRegistered() bool {
	r.mu.Lock()
	l := r.life
	r.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acked > 0
}

func (l *lifetime) handle(w http.ResponseWriter, q *http.Request) {
	r := l.replica
	l.mu.Lock()
	load := fmt.Sprintf("%d,0,%d", l.running, r.slots)
	l.mu.Unlock()
	w.Header().Set("X-Comfreybend-Server-Load", load)
	switch q.URL.Path {
	case "/healthz":
		w.Header().Set("X-Comfreybend-Instance-Id", r.id)
		return
	case "/api/report":
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
			"queued": 0, "active": l.running, "kv_used": 0, "kv_total": 90000, "kv_handles": 0, "born": l.born, "state": "ready",
		})
		return
	}
	id := q.Header.Get("X-Comfreybend-Attempt-Id")
	if id == "" {
		w.Header().Set("X-Comfreybend-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Comfreybend-Attempt-Id", id)
	if expected := q.Header.Get("X-Comfreybend-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Comfreybend-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.mu.Lock()
	l.running++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.running--
		l.mu.Unlock()
	}()
	r.sys.rec.add("replica %s (version %s) runs %s %s %s, after event %q", r.id, l.version, id, q.Method, q.URL.Path, q.Header.Get("Last-Event-Id"))
	r.sys.recordRun(id)
	w.Header().Set("X-Comfreybend-Response-Seal", "seal."+id)
	r.serve(l, w, q)
}

// serveStream returns a function that answers with a stream of events. Each event names the version
// that has written it.
func serveStream(events int, pause time.Duration) func(*lifetime, http.ResponseWriter, *http.Request) {
	return func(l *lifetime, w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Comfreybend-Weight-Versions", "1")
		control := http.NewResponseController(w)
		for n := last + 1; n <= events; n++ {
			if !sleep(q.Context(), pause) {
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s by %s\n\n", n, n, l.version, l.replica.id)
			if control.Flush() != nil {
				return
			}
		}
	}
}

// sleep waits, and returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
