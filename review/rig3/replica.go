//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in of a replica of one service. It registers itself and answers with its marks.
type replica struct {
	system  *system
	id      string
	service string
	zone    string
	version string
	slots   int
	born    int64
	// serve answers a request that runs.
	serve func(w http.ResponseWriter, r *http.Request)
	// onRequest is called for each request that arrives, before it runs.
	onRequest func(r *http.Request)
	// onConn is called for each connection that is accepted.
	onConn func(net.Conn)

	address  string
	server   *http.Server
	running  atomic.Int64
	sequence int64
	stop     chan struct{}
	once     sync.Once
}

// startReplica starts a replica at the address that ends with last.
func (s *system) startReplica(r *replica, last int) error {
	r.system, r.address, r.born, r.stop = s, s.address(last, portReplica), time.Now().UnixMilli(), make(chan struct{})
	if r.slots == 0 {
		r.slots = 64
	}
	if r.version == "" {
		r.version = "v1"
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.handle)}
	if r.onConn != nil {
		r.server.ConnState = func(conn net.Conn, state http.ConnState) {
			if state == http.StateNew {
				r.onConn(conn)
			}
		}
	}
	go func() { _ = r.server.Serve(l) }()
	go r.beat()
	return nil
}

// beat sends the heartbeats.
func (r *replica) beat() {
	for {
		r.announce("ready")
		select {
		case <-r.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (r *replica) announce(state string) {
	sequence := atomic.AddInt64(&r.sequence, 1)
	_, _, _ = r.system.call(http.MethodPost, "/api/Instances.Heartbeat/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": state,
		"warmup_left_ms": 0, "stage": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"sequence": sequence, "born": r.born,
	}, heartbeat)
}

func (r *replica) close() {
	r.once.Do(func() {
		close(r.stop)
		_ = r.server.Close()
	})
}

func (r *replica) handle(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/healthz" {
		w.Header().Set("X-Comfreybend-Instance-Id", r.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := request.Header.Get("X-Comfreybend-Attempt-Id")
	w.Header().Set("X-Comfreybend-Attempt-Id", id)
	if expected := request.Header.Get("X-Comfreybend-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Comfreybend-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Comfreybend-Server-Load", fmt.Sprintf("%d,0,%d", r.running.Add(1), r.slots))
	defer r.running.Add(-1)
	w.Header().Set("X-Comfreybend-Response-Seal", "seal."+r.id+"."+id)
	if r.onRequest != nil {
		r.onRequest(request)
	}
	r.serve(w, request)
}
