//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["versions"] = playVersions }

// Figures of the case versions.
const (
	versionReplicas = 10
	versionEvents   = 40
	versionPause    = 100 * time.Millisecond
	versionStreams  = 150 // a second
	versionLimit    = 10 * time.Second
	cutTime         = 5000 * time.Millisecond
)

// playVersions: two of ten replicas are cut off from control, not from the entry machines, and crash
// behind the cut one after the other. They start again under their ids, with the next version of
// their software. More than two streams must not hold events of two versions.
func playVersions(rec *record, trouble bool) (bool, error) {
	s, replicas, err := deploy(rec, deployment{
		entries: 2, replicas: versionReplicas, slots: 128, serve: serveStream(versionEvents, versionPause), service: plainService("huvo11a"),
		route: route{
			"name": "r-yhvz3pf", "host": host, "path_prefix": "/lohu930/", "route_type": "streaming", "timeout_ms": 10000, "target_latency_ms": 1200,
			"priority": 0, "service": "huvo11a", "max_attempts": 2, "anonymous": false, "session_affinity": false, "stream_resumption": true, "target_itl_ms": 250,
		},
	})
	if err != nil {
		return false, err
	}
	defer s.close()
	rec.say("traffic begins")
	var (
		wait    sync.WaitGroup
		mu      sync.Mutex
		streams []*stream
	)
	entries := s.of("entry")
	begin := time.Now()
	if trouble {
		wait.Go(func() { cutAndRestart(rec, replicas[0], replicas[1]) })
	}
	for n := 0; time.Since(begin) < 14*time.Second; n++ {
		wait.Go(func() {
			st := s.runStream(entries, n, "/lohu930/2f", versionLimit)
			mu.Lock()
			defer mu.Unlock()
			streams = append(streams, st)
		})
		time.Sleep(time.Second / versionStreams)
	}
	wait.Wait()
	complete, joined := 0, 0
	for _, st := range streams {
		if st.complete {
			complete++
		}
		if len(st.versions()) > 1 {
			joined++
			rec.add("joined: attempts %v, %v, versions %v", st.attempts, st.statuses, st.versions())
		}
	}
	rec.say("%d streams, %d complete, %d hold events of two versions of the software", len(streams), complete, joined)
	if complete < len(streams)/2 {
		return false, fmt.Errorf("only %d of %d streams are complete", complete, len(streams))
	}
	return joined > 2, nil
}

// cutAndRestart cuts replicas off from control for cutTime and lets them crash behind the cut.
func cutAndRestart(rec *record, replicas ...*replica) {
	time.Sleep(4 * time.Second)
	for _, r := range replicas {
		r.mu.Lock()
		r.cutUntil = time.Now().Add(cutTime)
		r.mu.Unlock()
		rec.add("replica %s is cut off from control for %v", r.id, cutTime)
	}
	time.Sleep(500 * time.Millisecond)
	for _, r := range replicas {
		r.crash()
		time.Sleep(500 * time.Millisecond)
		if err := r.start("v2"); err != nil {
			rec.say("replica %s: %v", r.id, err)
		}
		time.Sleep(3 * time.Second)
	}
}
