//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	stopSlots  = 4
	stopEvents = 44
	stopGap    = 250 * time.Millisecond
	stopQueued = 6
	stopLimit  = 12 * time.Second
	lossSlack  = 200 * time.Millisecond
)

func init() { cases["stop"] = playStop }

// playStop stops an edge machine as the platform does, while requests wait there for a slot of the service's replicas.
func playStop(r *record, binary string, trouble bool) (int, error) {
	s, err := newSystem(binary, r, 2, 3)
	if err != nil {
		return failed, err
	}
	defer s.close()
	if err = s.configure(config(7)); err != nil {
		return failed, err
	}
	for n := range 2 {
		p := s.newReplica(n, pool, stopSlots)
		p.work, p.events = stopGap, stopEvents
		if err = p.start("v1"); err != nil {
			return failed, err
		}
		if err = p.awaitKnown(); err != nil {
			return failed, err
		}
	}
	if err = s.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	entry := s.of("entry")[0]
	var (
		sending sync.WaitGroup
		mu      sync.Mutex
		answers []answer
		sentAt  = map[string]time.Time{}
	)
	send := func(count int) {
		for range count {
			sending.Go(func() {
				began := time.Now()
				a := s.ask(context.Background(), entry, "POST", "/lohu930/2f", nil, "prompt", stopLimit)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
				sentAt[a.id] = began
			})
		}
	}
	send(2 * stopSlots)
	time.Sleep(1500 * time.Millisecond)
	send(stopQueued)
	time.Sleep(500 * time.Millisecond)
	stopped := time.Now()
	if trouble {
		r.add("%s: SIGTERM", entry.name)
		sending.Go(func() {
			entry.stop(syscall.SIGTERM)
			r.add("%s: the process has ended after %v", entry.name, time.Since(stopped))
		})
	}
	time.Sleep(1500 * time.Millisecond)
	send(stopQueued)
	sending.Wait()
	lost := 0
	for _, a := range answers {
		first, _, _ := strings.Cut(a.body, "\n")
		r.add("request %s sent at %v: status %d, error %v after %v (%s)", a.id, sentAt[a.id].Sub(stopped), a.status, a.err, a.took, first)
		if a.status == 0 && a.took > lossSlack && a.took < stopLimit {
			lost++
		}
	}
	fmt.Printf("%d requests, %d were read and got no answer\n", len(answers), lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
