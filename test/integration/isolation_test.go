package integration

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	crashingPart = "crashing"
	crashText    = "crash me"
	// isolationTime is the time after the fifth crash from which no more than
	// maxLateCrashes engines may end under one part.
	isolationTime  = 3 * time.Second
	crashesAllowed = 5
	maxLateCrashes = 3
	restartDelay   = time.Second
)

// crashingFleet sends requests to a system whose engines crash on a part of prompts, and
// restarts the engines that have ended.
type crashingFleet struct {
	t       *testing.T
	system  *system
	key     string
	engines []*upstreamProcess
	// endedAt holds the time at which each engine that is down was found to have ended.
	endedAt map[*upstreamProcess]time.Time
	// crashes holds the times at which engines were found to have ended.
	crashes []time.Time
	asked   int
	wait    sync.WaitGroup
}

// ask requests a completion whose prompt has a part that all requests share, one that decides
// whether engines crash on it, and one of its own.
func (f *crashingFleet) ask(e *entryProcess, part, text string) clientResponse {
	n := promptCount.Add(1)
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"%s %d"}]}`, text, n)
	parts := fmt.Sprintf("shared:100,%s:100,own-%d:10", part, n)
	return e.do(context.Background(), http.MethodPost, "/v1/chat/completions", f.key, body, translator.HeaderPromptParts, parts)
}

func (f *crashingFleet) askCrashing(e *entryProcess) clientResponse {
	return f.ask(e, crashingPart, crashText)
}

func (f *crashingFleet) askSound(e *entryProcess) clientResponse { return f.ask(e, "sound", "hello") }

// step sends one request of each kind to the next entry process, without waiting for the
// responses, and restarts engines.
func (f *crashingFleet) step() {
	e := f.system.entries[f.asked%len(f.system.entries)]
	f.asked++
	for _, ask := range []func(*entryProcess) clientResponse{f.askCrashing, f.askSound} {
		f.wait.Add(1)
		go func() {
			defer f.wait.Done()
			ask(e)
		}()
	}
	f.restart()
}

// restart starts the engines again that ended some time ago.
func (f *crashingFleet) restart() {
	for _, u := range f.engines {
		select {
		case <-u.hasExited():
		default:
			continue
		}
		endedAt, found := f.endedAt[u]
		switch {
		case !found:
			f.endedAt[u] = time.Now()
			f.crashes = append(f.crashes, time.Now())
		case time.Since(endedAt) >= restartDelay:
			delete(f.endedAt, u)
			u.start()
		}
	}
}

// refused returns an error unless an entry process gives a final refusal to requests with the
// crashing part.
func (f *crashingFleet) refused(e *entryProcess) error {
	a := f.askCrashing(e)
	if err := checkStatus(a, http.StatusUnprocessableEntity); err != nil {
		return err
	}
	if a.run() != translator.NotRun || !strings.Contains(a.body, translator.CodePartHeld) {
		return fmt.Errorf("the refusal says %q: %s", a.run(), a.body)
	}
	return nil
}

// held returns an error unless an operator is told that exactly the crashing part is held.
func (f *crashingFleet) held() error {
	reply, err := f.system.operator().Read(f.t.Context(), "parts")
	if err != nil {
		return err
	}
	var held []*wire.AccusedPart
	for _, p := range reply.GetParts() {
		if p.GetHeld() {
			held = append(held, p)
		}
	}
	if len(held) != 1 || held[0].GetId() != crashingPart {
		return fmt.Errorf("held parts: %v", held)
	}
	return nil
}

// TestCrashingPromptPart guards against engines that crash one after the other on a part of
// prompts, and against sound requests that are refused because of it or that find no engine.
// The part stays held when control and entry processes are killed, until an operator lifts it.
func TestCrashingPromptPart(t *testing.T) {
	const (
		engines      = 8
		stepInterval = 100 * time.Millisecond
	)
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "a", "b", "b"}})
	s.configure()
	f := &crashingFleet{t: t, system: s, endedAt: map[*upstreamProcess]time.Time{}}
	for i := range engines {
		f.engines = append(f.engines, s.startUpstream(fmt.Sprintf("engine-%d", i+1), string(rune('a'+i%2)), "model", "m", s.entries, "--crash-on", crashText))
	}
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	f.key = s.grant("one").Key
	s.awaitKey(f.key, s.entries...)
	for _, e := range s.entries {
		s.awaitCompletion(e, f.key)
	}

	pace := time.NewTicker(stepInterval)
	defer pace.Stop()
	for len(f.crashes) < crashesAllowed || time.Since(f.crashes[crashesAllowed-1]) < 2*isolationTime {
		if err := f.held(); err == nil && len(f.crashes) < crashesAllowed {
			break
		}
		f.step()
		<-pace.C
	}
	f.wait.Wait()
	f.check("while the requests come")

	leader := s.leader()
	leader.kill()
	leader.start()
	s.entries[0].kill()
	s.entries[0].start()
	eventually(t, waitTimeout, s.entries[0].ready)
	for _, e := range s.entries {
		eventually(t, waitTimeout, func() error { return f.refused(e) })
	}
	eventually(t, waitTimeout, f.held)
	f.check("after a leader and an entry process were killed")

	if _, err := s.operator().LiftPart(t.Context(), crashingPart); err != nil {
		t.Fatal(err)
	}
	before := len(f.crashes)
	eventually(t, waitTimeout, func() error {
		f.askCrashing(s.entries[1])
		if f.restart(); len(f.crashes) == before {
			return errors.New("no request with the part has reached an engine")
		}
		return nil
	})
}

// check fails the test if too many engines have ended, if a request with the crashing part is
// not refused, or if a sound one is not answered.
func (f *crashingFleet) check(when string) {
	f.t.Helper()
	eventually(f.t, waitTimeout, func() error {
		if f.restart(); len(f.endedAt) > 0 {
			return errors.New("an engine is down")
		}
		return nil
	})
	for _, e := range f.system.entries {
		f.system.awaitCompletion(e, f.key)
		if err := f.refused(e); err != nil {
			f.t.Errorf("%s, %s, a request with the crashing part: %v", e.id, when, err)
		}
		if a := f.askSound(e); a.err != nil || a.status != http.StatusOK || !strings.Contains(a.body, "[DONE]") {
			f.t.Errorf("%s, %s, a sound request: status %d, error %v, %.200s", e.id, when, a.status, a.err, a.body)
		}
	}
	f.restart()
	late := 0
	for _, at := range f.crashes {
		if len(f.crashes) >= crashesAllowed && at.Sub(f.crashes[crashesAllowed-1]) > isolationTime {
			late++
		}
	}
	f.t.Logf("%s: %d engines ended, %d of them late", when, len(f.crashes), late)
	if late > maxLateCrashes {
		f.t.Errorf("%d engines ended more than %v after the fifth, at most %d may", late, isolationTime, maxLateCrashes)
	}
}
