//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["bodies"] = playBodies }

// Figures of the case bodies.
const (
	usualRate = 13.9 // requests a second, that of the site spread over its entry machines
	bodyBytes = 4 << 20
	// The burst is one of twice the traffic for 9 s: 28 bodies a second, 0.93 Gbit/s.
	bodyBurst     = 2.0
	bodyBurstTime = 9 * time.Second
	bodyBurstAt   = 4 * time.Second
)

// playBodies: many users come at once, and their requests have the largest bodies that the limits of
// the configuration allow. The process must not be ended for its memory.
func playBodies(rec *record, trouble bool) (bool, error) {
	s, _, err := deploy(rec, deployment{
		entries: 1, replicas: 4, slots: 128, serve: serveStream(24, 150*time.Millisecond), service: engineService("huvo11a", 128),
		route: route{
			"name": "r-yhvz3pf", "host": host, "path_prefix": "/lohu930/", "route_type": "streaming", "timeout_ms": 8000, "target_latency_ms": 1500,
			"priority": 2, "service": "huvo11a", "max_attempts": 2, "anonymous": false, "session_affinity": true, "stream_resumption": true, "target_itl_ms": 1000,
		},
	})
	if err != nil {
		return false, err
	}
	defer s.close()
	entry := s.of("entry")[0]
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { entry.watchMemory(stop) })
	var (
		wait  sync.WaitGroup
		usual tally
		large tally
	)
	begin := time.Now()
	for time.Since(begin) < bodyBurstAt+bodyBurstTime+2*time.Second {
		if during := time.Since(begin) - bodyBurstAt; trouble && during > 0 && during < bodyBurstTime {
			wait.Go(func() { s.sendBody(entry, bodyBytes, &large) })
			time.Sleep(every(usualRate * bodyBurst))
			continue
		}
		wait.Go(func() { s.sendBody(entry, 17000, &usual) })
		time.Sleep(every(usualRate))
	}
	wait.Wait()
	close(stop)
	watch.Wait()
	entry.mu.Lock()
	over, peak := entry.overMemory, entry.peakMB
	entry.mu.Unlock()
	rec.say("the entry process took %d MB at its peak; ended for its memory %d times (limit %d MB)", peak, over, memoryMB)
	rec.say("usual requests: %v", &usual)
	rec.say("requests with %d bytes: %v", bodyBytes, &large)
	return usual.lost.Load()+large.lost.Load() > 3, nil
}

// tally counts how requests ended.
type tally struct {
	sent, served, refused atomic.Int64
	// unanswered are those without a complete answer, lost those of them that came on a kept channel
	// and were passed on to a replica.
	unanswered, lost atomic.Int64
}

// String implements fmt.Stringer.
func (t *tally) String() string {
	return fmt.Sprintf("%d sent, %d served, %d refused, %d without a complete answer, of which %d came on a kept channel and ran at a replica",
		t.sent.Load(), t.served.Load(), t.refused.Load(), t.unanswered.Load(), t.lost.Load())
}

// every returns the time between two of a number of requests a second.
func every(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

// watchMemory ends the process of a machine when it takes more than the limit, as the platform does.
func (m *machine) watchMemory(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		mb := m.memory()
		m.mu.Lock()
		m.peakMB = max(m.peakMB, mb)
		if mb > memoryMB {
			m.overMemory++
			m.sys.rec.say("platform: %s takes %d MB, more than memory_mb, and is killed", m.name, mb)
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
		}
		done := m.done
		m.mu.Unlock()
		if mb > memoryMB {
			<-done
		}
	}
}

// keepingClient is that of requesters that keep their channels for many requests.
var keepingClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 500, DisableCompression: true}}

// sendBody sends a request with a body, and counts how it ended.
func (s *system) sendBody(m *machine, bytes int, t *tally) {
	const timeLimit = 8 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	kept := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }})
	attempt := newID()
	t.sent.Add(1)
	response, err := s.requestWith(ctx, keepingClient, m, http.MethodPost, "/lohu930/2f", attempt, make([]byte, bytes), timeLimit, map[string]string{
		"X-Comfreybend-Model": "m", "X-Comfreybend-Token-Usage": "1460,170", "X-Comfreybend-Prompt-Prefix": fmt.Sprintf("5c1e07a2:350,%s:1110", newID()[:8]),
	})
	status := 0
	var body []byte
	if err == nil {
		status = response.StatusCode
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	ran := s.hasRun(attempt)
	s.rec.add("requester: attempt %s, %d bytes, kept channel %t, ran %t: %d, %d bytes, %v", attempt, bytes, kept, ran, status, len(body), err)
	switch {
	case err != nil:
		t.unanswered.Add(1)
		if kept && ran && ctx.Err() == nil {
			t.lost.Add(1)
		}
	case status == http.StatusOK:
		t.served.Add(1)
	default:
		t.refused.Add(1)
	}
}
