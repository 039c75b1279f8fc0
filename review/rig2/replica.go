//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// replica is the stand-in of a replica. It may live several times, under the same id.
	replica struct {
		s                     *system
		id, ip, service, zone string
		slots                 int
		// work is the time of a request, or of an event of a stream. events is the length of a stream.
		work   time.Duration
		events int
		// first is the time to the first event of a stream, if that is not work. begun is told of each run.
		first time.Duration
		begun func(id string)
		// silent keeps single runs out of the record.
		silent bool
		// late is the time by which a heartbeat arrives late.
		late atomic.Int64
		// wrap wraps the listener, refuses says of an id that its request cannot reach the replica; nil for none.
		wrap    func(net.Listener) net.Listener
		refuses func(id string) bool
		// serve answers a request that is the replica's own; nil for the usual answer.
		serve func(w http.ResponseWriter, r *http.Request)

		mu      sync.Mutex
		life    *life
		running atomic.Int32
	}

	life struct {
		born    int64
		version string
		server  *http.Server
		ended   chan struct{}
		known   chan struct{}
		once    sync.Once
	}
)

func (s *system) newReplica(n int, service string, slots int) *replica {
	return &replica{s: s, id: fmt.Sprintf("i-%08x", 0x4c1d7000+n), ip: s.prefix + strconv.Itoa(101+n), service: service, slots: slots, zone: s.zones[n%len(s.zones)], work: 15 * time.Millisecond}
}

// start begins a life of a software version.
func (p *replica) start(version string) error {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", p.s.address(p.ip, offsetReplica)); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	begun := &life{born: time.Now().UnixMilli(), version: version, ended: make(chan struct{}), known: make(chan struct{})}
	begun.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.handle(begun, w, r) })}
	p.mu.Lock()
	p.life = begun
	p.mu.Unlock()
	p.s.record.add("%s: a life of version %s begins", p.id, version)
	if p.wrap != nil {
		l = p.wrap(l)
	}
	go func() { _ = begun.server.Serve(l) }()
	go p.beat(begun)
	return nil
}

// crash ends the life. All channels are closed, and nothing is said.
func (p *replica) crash() {
	p.mu.Lock()
	ending := p.life
	p.life = nil
	p.mu.Unlock()
	if ending == nil {
		return
	}
	p.s.record.add("%s: the life of version %s ends", p.id, ending.version)
	close(ending.ended)
	_ = ending.server.Close()
}

// awaitKnown waits until a heartbeat of the life is acknowledged.
func (p *replica) awaitKnown() error {
	p.mu.Lock()
	current := p.life
	p.mu.Unlock()
	select {
	case <-current.known:
		return nil
	case <-time.After(startLimit):
		return fmt.Errorf("%s is not known", p.id)
	}
}

// beat sends heartbeats until the life ends. One without an acknowledgement within a second goes to the next host.
func (p *replica) beat(l *life) {
	controls := p.s.of("control")
	next := 0
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": p.service, "address": p.s.address(p.ip, offsetReplica), "zone": p.zone, "version": l.version, "slots": p.slots, "state": "ready",
			"warmup_left_ms": 0, "stage": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": sequence, "born": l.born,
		})
		address := p.s.address(controls[next%len(controls)].ip, offsetControl)
		answered := make(chan bool, 1)
		late := time.Duration(p.late.Load())
		go func() {
			// The network holds the heartbeat up.
			time.Sleep(late)
			answered <- p.send(l, address, body, sequence)
		}()
		pause := heartbeatMS * time.Millisecond
		select {
		case ok := <-answered:
			if !ok {
				next++
				pause = 100 * time.Millisecond
			}
		case <-time.After(time.Second):
			next++
			pause = 100 * time.Millisecond
		case <-l.ended:
			return
		}
		select {
		case <-l.ended:
			return
		case <-time.After(pause):
		}
	}
}

func (p *replica) send(l *life, address string, body []byte, sequence int) bool {
	response, err := apiClient.Post("http://"+address+"/api/Instances.Heartbeat/"+p.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return false
	}
	if sequence == 1 {
		p.s.record.add("%s: the first heartbeat of version %s is acknowledged", p.id, l.version)
	}
	l.once.Do(func() { close(l.known) })
	return true
}

func (p *replica) handle(l *life, w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Comfreybend-Server-Load", fmt.Sprintf("%d,0,%d", p.running.Load(), p.slots))
	switch r.URL.Path {
	case "/healthz":
		h.Set("X-Comfreybend-Instance-Id", p.id)
		return
	case "/api/report":
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "combined", "queued": 0, "active": p.running.Load(), "state": "ready", "born": l.born})
		return
	}
	id := r.Header.Get("X-Comfreybend-Attempt-Id")
	if p.refuses != nil && p.refuses(id) {
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Comfreybend-Attempt-Id", id)
	if r.Header.Get("X-Comfreybend-Expect-Instance") != p.id {
		h.Set("X-Comfreybend-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if p.running.Add(1) > int32(p.slots) {
		p.running.Add(-1)
		h.Set("X-Comfreybend-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.running.Add(-1)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !p.silent {
		p.s.record.add("%s: runs %s %s %s after event %d, version %s", p.id, id, r.Method, r.RequestURI, last, l.version)
	}
	if p.begun != nil {
		p.begun(id)
	}
	h.Set("X-Comfreybend-Response-Seal", "seal."+id)
	if p.serve != nil {
		p.serve(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if p.events == 0 {
		time.Sleep(p.work)
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := last + 1; n <= p.events; n++ {
		pause := p.work
		if n == 1 && p.first > 0 {
			pause = p.first
		}
		select {
		case <-r.Context().Done():
			return
		case <-l.ended:
			return
		case <-time.After(pause):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s writes piece %d\n\n", n, l.version, n)
		if control.Flush() != nil {
			return
		}
	}
}
