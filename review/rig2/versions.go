//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	streamReplicas = 4
	streamEvents   = 50
	eventTime      = 100 * time.Millisecond
	streamRate     = 8
	heartbeatLate  = 4 * time.Second
	replaceGap     = 2500 * time.Millisecond
	// maxMixed is the number of streams of two versions that the rule allows.
	maxMixed = 2
)

func init() { cases["versions"] = playVersions }

// playVersions replaces the replicas of a service one after the other. Each starts again under its id with another
// version of its software, and its heartbeats arrive late.
func playVersions(r *record, binary string, trouble bool) (int, error) {
	s, err := newSystem(binary, r, 2, 3)
	if err != nil {
		return failed, err
	}
	defer s.close()
	if err = s.configure(config(7)); err != nil {
		return failed, err
	}
	var replicas []*replica
	for n := range streamReplicas {
		p := s.newReplica(n, pool, 64)
		p.work, p.events = eventTime, streamEvents
		if err = p.start("v1"); err != nil {
			return failed, err
		}
		replicas = append(replicas, p)
	}
	for _, p := range replicas {
		if err = p.awaitKnown(); err != nil {
			return failed, err
		}
	}
	if err = s.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var (
		sending sync.WaitGroup
		mu      sync.Mutex
		answers []answer
	)
	sending.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			entries := s.of("entry")
			sending.Go(func() {
				a := s.ask(context.Background(), entries[n%len(entries)], "POST", "/lohu930/2f", nil, "prompt", 12*time.Second)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
			time.Sleep(time.Second / streamRate)
		}
	})
	time.Sleep(5 * time.Second)
	if trouble {
		for _, p := range replicas {
			p.late.Store(int64(heartbeatLate))
			p.crash()
			time.Sleep(300 * time.Millisecond)
			if err = p.start("v2"); err != nil {
				return failed, err
			}
			time.Sleep(replaceGap)
		}
	}
	sending.Wait()
	mixed, whole := 0, 0
	for _, a := range answers {
		versions := map[string]int{}
		for _, line := range lines(a.body) {
			if data, found := strings.CutPrefix(line, "data: "); found {
				versions[strings.Fields(data)[0]]++
			}
		}
		if a.status == 200 && a.err == nil {
			whole++
		}
		if len(versions) > 1 {
			mixed++
		}
		r.add("stream %s: status %d, pieces by version %v, error %v", a.id, a.status, versions, a.err)
	}
	r.add("%d streams, %d whole, %d with pieces of two versions", len(answers), whole, mixed)
	fmt.Printf("%d streams, %d whole, %d with pieces of two versions (allowed: %d)\n", len(answers), whole, mixed, maxMixed)
	if mixed > maxMixed {
		return broken, nil
	}
	return held, nil
}
