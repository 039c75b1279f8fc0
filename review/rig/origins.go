//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["origins"] = playOrigins }

// Figures of the case origins.
const (
	originRate   = 20 // streams a second
	originEvents = 38
	originPause  = 250 * time.Millisecond
	originLimit  = 10 * time.Second
	coreKillAt   = 12 * time.Second
	restartTime  = 500 * time.Millisecond
)

// playOrigins: all processes of the core are killed at the same moment and are back within a second.
// When the core has been stable again for contact_ms, an entry process is killed. The streams that it
// relayed are taken up at the others, while replicas of both software versions serve.
func playOrigins(rec *record, trouble bool) (bool, error) {
	s, replicas, err := deploy(rec, deployment{
		entries: 3, replicas: 6, slots: 128, serve: serveStream(originEvents, originPause), service: engineService("huvo11a", 128),
		route: route{
			"name": "r-yhvz3pf", "host": host, "path_prefix": "/lohu930/", "route_type": "streaming", "timeout_ms": 10000, "target_latency_ms": 1200,
			"priority": 0, "service": "huvo11a", "max_attempts": 2, "anonymous": false, "session_affinity": true, "stream_resumption": true, "target_itl_ms": 250,
		},
	})
	if err != nil {
		return false, err
	}
	defer s.close()
	// Half of the replicas are of the next version, before any request comes.
	for _, r := range replicas[:len(replicas)/2] {
		r.crash()
		if err = r.start("v2"); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * contactTime)
	rec.say("traffic begins")
	var (
		wait    sync.WaitGroup
		mu      sync.Mutex
		streams []*stream
	)
	entries := s.of("entry")
	killed := entries[0]
	begin := time.Now()
	var killedAt time.Time
	wait.Go(func() {
		time.Sleep(coreKillAt)
		if trouble {
			s.killCore()
		}
		time.Sleep(contactTime + 200*time.Millisecond)
		rec.say("after %.1f s: the process of %s is killed", time.Since(begin).Seconds(), killed.name)
		mu.Lock()
		killedAt = time.Now()
		mu.Unlock()
		killed.end(syscall.SIGKILL)
		time.Sleep(contactTime)
		_ = killed.writeBoot(false)
		_ = killed.start()
	})
	for n := 0; time.Since(begin) < 24*time.Second; n++ {
		wait.Go(func() {
			mu.Lock()
			gone := !killedAt.IsZero()
			mu.Unlock()
			choice := entries
			if gone {
				choice = entries[1:]
			}
			st := s.runStream(choice, n, "/lohu930/2f", originLimit)
			mu.Lock()
			defer mu.Unlock()
			streams = append(streams, st)
		})
		time.Sleep(every(originRate))
	}
	wait.Wait()
	return judgeOrigins(rec, streams, killedAt)
}

// judgeOrigins compares the share of the streams that were taken up and went on with the share of
// new streams that began.
func judgeOrigins(rec *record, streams []*stream, killedAt time.Time) (bool, error) {
	taken, wentOn, begun, began := 0, 0, 0, 0
	for _, st := range streams {
		if len(st.tries) > 1 && st.tries[1].eventsBefore > 0 && st.tries[1].sentAt.Sub(killedAt).Abs() < contactTime {
			taken++
			if len(st.events) > st.tries[1].eventsBefore {
				wentOn++
			} else {
				rec.add("did not go on: attempts %v, %v", st.attempts, st.statuses)
			}
		}
		if sent := st.tries[0].sentAt.Sub(killedAt); sent > 0 {
			begun++
			if len(st.events) > 0 {
				began++
			}
		}
	}
	if taken < 12 || begun == 0 {
		return false, fmt.Errorf("only %d streams were taken up", taken)
	}
	share, newShare := float64(wentOn)/float64(taken), float64(began)/float64(begun)
	rec.say("%d streams were taken up at machines in touch, %d went on (%.2f); of %d new streams %d began (%.2f)", taken, wentOn, share, begun, began, newShare)
	return share < newShare/2, nil
}

// killCore kills all processes that serve control at the same moment, and starts them again.
func (s *system) killCore() {
	s.rec.say("all processes of the core are killed")
	var wait sync.WaitGroup
	for _, m := range s.of("control") {
		wait.Go(func() { m.end(syscall.SIGKILL) })
	}
	wait.Wait()
	time.Sleep(restartTime)
	for _, m := range s.of("control") {
		_ = m.writeBoot(false)
		_ = m.start()
	}
}
