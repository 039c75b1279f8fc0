//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// In the case of the foreign heartbeats, all processes are killed right after a config was acknowledged (the final fault)
// and are back at once. With the trouble another writer then sends heartbeats of a service that no config names, with the
// addresses of the sound replicas, each 1.2 s; they name no replica to use. The replicas stay sound and go on with their own.
const (
	foreignReplicas = 4
	foreignRate     = 20
	// foreignBefore is the time of traffic before the final fault, foreignAfter that which counts after recovery_s.
	foreignBefore   = 10 * time.Second
	foreignAfter    = 15 * time.Second
	foreignRecovery = 12 * time.Second
	foreignDelay    = 2 * time.Second
)

func init() { cases["foreign"] = playForeign }

type share struct{ sent, served atomic.Int64 }

func (s *share) String() string { return fmt.Sprintf("%d of %d", s.served.Load(), s.sent.Load()) }

func playForeign(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r, 284)
	if err != nil {
		return false, err
	}
	if err = s.start(3, 2); err != nil {
		return false, err
	}
	defer s.close()
	config := func(version int) error {
		c := slashConfig()
		c["version"] = version
		status, _, err := s.call(http.MethodPost, "/api/Config.Replace", c, 30*time.Second)
		r.line("the config of version %d gets %d", version, status)
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("the config got %d: %w", status, err)
		}
		return nil
	}
	if err = config(7); err != nil {
		return false, err
	}
	for i := range foreignReplicas {
		replica := &replica{id: fmt.Sprintf("i-%d", i), service: "orders-app", zone: string(rune('a' + i%2)), slots: 6}
		replica.serve = func(w http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			r.line("%s runs %s", replica.id, request.Header.Get("X-Comfreybend-Attempt-Id"))
			time.Sleep(15 * time.Millisecond)
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
	var before, between, after share
	s.order(r, foreignBefore, &before)
	r.line("before the final fault %s requests are served", &before)
	if err = config(9); err != nil {
		return false, err
	}
	for _, m := range s.machines {
		m.signal(syscall.SIGKILL)
	}
	time.Sleep(foreignDelay)
	if err = s.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	back := time.Now()
	r.line("all machines are back and ready")
	stop := make(chan struct{})
	defer close(stop)
	if trouble {
		go s.beatForeign(r, stop)
	}
	s.order(r, foreignRecovery-time.Since(back), &between)
	r.line("in the %v after that %s requests are served", foreignRecovery, &between)
	s.order(r, foreignAfter, &after)
	r.line("later %s requests are served", &after)
	if before.served.Load()*4 < before.sent.Load() {
		return false, fmt.Errorf("less than a quarter was served before the final fault")
	}
	return after.served.Load()*4 < after.sent.Load(), nil
}

// order sends requests to both entry processes, each on a channel of its own.
func (s *system) order(r *record, length time.Duration, count *share) {
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / foreignRate)
	defer ticker.Stop()
	var mu sync.Mutex
	statuses := map[string]int{}
	for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
		<-ticker.C
		group.Go(func() {
			count.sent.Add(1)
			id := newID()
			status, err := askSlash(s.address(11+n%2, portFrontend), "/order", id, true)
			r.line("request %s, sent to entry-%d, gets %d", id, 1+n%2, status)
			if err == nil && status == http.StatusOK {
				count.served.Add(1)
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[strconv.Itoa(status)]++
		})
	}
	group.Wait()
	r.line("statuses (0 for none): %v", statuses)
}

// beatForeign sends the heartbeats of the other writer.
func (s *system) beatForeign(r *record, stop chan struct{}) {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		for i := range foreignReplicas {
			status, _, _ := s.call(http.MethodPost, fmt.Sprintf("/api/Instances.Heartbeat/x-%d", i), map[string]any{
				"service": "exporter", "address": s.address(31+i, portReplica), "zone": string(rune('a' + i%2)), "version": "v1", "slots": 1,
				"state": "ready", "warmup_left_ms": 0, "sequence": sequence, "born": born,
			}, heartbeat)
			if sequence == 1 {
				r.line("the other writer's heartbeat of x-%d (service exporter, address of i-%d) gets %d", i, i, status)
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}
