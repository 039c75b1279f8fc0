package integration

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/pkg/timer"
)

const (
	// soakSeedsPerCut is the number of seeds of which one cuts entry processes off from upstreams.
	soakSeedsPerCut = 3
	// soakCutPause and soakCutLength bound the time between two cuts and the length of a cut. They
	// overlap, and there may be one at each entry process.
	soakCutPause  = 1500 * time.Millisecond
	soakCutLength = 5 * time.Second
)

var soakCuts = []pathFault{pathHangs, pathResets, pathAccepts, pathRefusesNew}

// cutsEntries reports whether entry processes are cut off from upstreams in a run, and returns the source
// of the cuts, which is of its own, so that the other faults of a seed stay the same.
func cutsEntries(seed int64) (*rand.Rand, bool) {
	random := rand.New(rand.NewSource(seed + 2))
	return random, random.Intn(soakSeedsPerCut) == 0
}

// startSoakUpstream starts an upstream, with paths to it if entry processes are cut off in the run.
func (s *soak) startSoakUpstream(id, domain, kind, serves string, flags ...string) *upstreamProcess {
	if !s.cuts {
		return s.startUpstream(id, domain, kind, serves, s.entries, flags...)
	}
	u, paths := s.startReachable(id, domain, kind, serves, flags...)
	for i, p := range paths {
		s.paths[i] = append(s.paths[i], p)
	}
	return u
}

// cutEntries cuts entry processes off from all upstreams now and then until ctx is done.
func (s *soak) cutEntries(ctx context.Context) {
	if !s.cuts {
		return
	}
	var running sync.WaitGroup
	defer running.Wait()
	cutOff := make([]sync.Mutex, len(s.entries))
	for timer.Sleep(ctx, time.Duration(s.cutRandom.Int63n(int64(soakCutPause)))) {
		index := s.cutRandom.Intn(len(s.entries))
		fault := soakCuts[s.cutRandom.Intn(len(soakCuts))]
		length := time.Duration(s.cutRandom.Int63n(int64(soakCutLength)))
		if !cutOff[index].TryLock() {
			continue
		}
		name := fmt.Sprintf("%s paths of %s", fault, s.entries[index].id)
		s.mu.Lock()
		s.faultNames = append(s.faultNames, name)
		s.mu.Unlock()
		running.Go(func() {
			defer cutOff[index].Unlock()
			s.recordDisruption(name, false, func() { s.cutPaths(ctx, index, fault, length) })
		})
	}
}

func (s *soak) cutPaths(ctx context.Context, entry int, fault pathFault, length time.Duration) {
	for _, p := range s.paths[entry] {
		p.cut(fault)
	}
	timer.Sleep(ctx, length)
	for _, p := range s.paths[entry] {
		p.heal()
	}
}
