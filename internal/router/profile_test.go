package router

import (
	"net/http"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/profiler"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// newProfileTest returns the dispatcher of an entry process before a service with three upstreams, and a
// function that gets a grant.
func newProfileTest(t *testing.T) (*dispatcher, func() *grant) {
	t.Helper()
	d, now := newTestRouter(t).dispatcher, time.Hour
	d.now = func() time.Duration { now += time.Millisecond; return now }
	for _, id := range []registrar.UpstreamID{"one", "two", "three"} {
		d.applyAnnouncement(registrar.Upstream{
			ID: id, Incarnation: 1, Sequence: 1, URL: "http://" + string(id), FailureDomain: "a", Kind: registrar.KindService,
			Serves: []string{"s"}, State: registrar.Serving, AnnouncedAt: now, Load: registrar.Load{Slots: 64},
		})
	}
	return d, func() *grant {
		g, refusal := d.acquire(t.Context(), dispatchRequest{
			pool: poolKey{kind: registrar.KindService, name: "s"}, class: &state.Class{Name: "c"},
			arrived: now, deadline: now + time.Minute, pick: picker.Request{Retryable: true},
		})
		if refusal != nil {
			t.Fatal(refusal)
		}
		return g
	}
}

// TestAttemptsAreCounted guards against failures that are charged to an upstream that did not fail, and
// against failures that are not counted.
func TestAttemptsAreCounted(t *testing.T) {
	for name, test := range map[string]struct {
		status             int
		info               translator.ResponseInfo
		outcome            attemptOutcome
		late               bool
		attempts, failures int
	}{
		"answered":                   {http.StatusOK, translator.ResponseInfo{}, outcomeAnswered, false, 1, 0},
		"client's fault":             {http.StatusNotFound, translator.ResponseInfo{}, outcomeAnswered, false, 1, 0},
		"error that is relayed":      {http.StatusInternalServerError, translator.ResponseInfo{}, outcomeAnswered, false, 1, 1},
		"error that is retried":      {http.StatusBadGateway, translator.ResponseInfo{}, outcomeOverloaded, false, 1, 1},
		"refused":                    {http.StatusInternalServerError, translator.ResponseInfo{NotRun: true}, outcomeOverloaded, false, 0, 0},
		"refused by its status":      {http.StatusServiceUnavailable, translator.ResponseInfo{}, outcomeOverloaded, false, 0, 0},
		"broken before the head":     {0, translator.ResponseInfo{}, outcomeFailed, false, 1, 1},
		"broken while answering":     {http.StatusOK, translator.ResponseInfo{}, outcomeFailed, false, 1, 1},
		"without the seal":           {http.StatusOK, translator.ResponseInfo{FromIntermediary: true}, outcomeFailed, false, 1, 1},
		"not answered in time":       {0, translator.ResponseInfo{}, outcomeFailed, true, 0, 0},
		"not reached":                {0, translator.ResponseInfo{}, outcomeUnreachable, false, 0, 0},
		"abandoned by its client":    {http.StatusOK, translator.ResponseInfo{}, outcomeAbandoned, false, 0, 0},
		"refused before it was sent": {0, translator.ResponseInfo{}, outcomeOverloaded, false, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d, acquire := newProfileTest(t)
			d.clusterLoad.Observer().Enable()
			g := acquire()
			if test.status != 0 {
				d.observeResponse(g, &http.Response{StatusCode: test.status}, test.info)
			}
			if test.late {
				g.observed.deadline = d.now()
			}
			d.release(g, test.outcome, 1)
			sums := announcer.SumsFromWire(d.loadShare().GetSums())[runOf(g.upstream)]
			if sums != (profiler.Sums{Attempts: test.attempts, Failures: test.failures}) {
				t.Errorf("%+v, want %d attempts and %d failures", sums, test.attempts, test.failures)
			}
		})
	}
}

// TestAttemptsAreNotCounted guards against failures that change choices at deployments whose upstreams report no
// slowdown.
func TestAttemptsAreNotCounted(t *testing.T) {
	d, acquire := newProfileTest(t)
	d.release(acquire(), outcomeFailed, 1)
	if sums := d.loadShare().GetSums(); len(sums) > 0 {
		t.Errorf("sums %v", sums)
	}
}

// TestProfilesAreUsed guards against profiles that do not reach the choice of an upstream, that outlive
// the contact with the control processes, or that are applied to a later run.
func TestProfilesAreUsed(t *testing.T) {
	d, acquire := newProfileTest(t)
	d.clusterLoad.Observer().Enable()
	chosen := func() (n int) {
		for range 160 {
			g := acquire()
			if g.upstream.ID == "one" {
				n++
			}
			d.release(g, outcomeAbandoned, 1)
		}
		return n
	}
	reply := &wire.FollowReply{Table: 7, Profiles: &wire.UpstreamProfiles{Position: 3, Profiles: []*wire.UpstreamProfile{
		{Upstream: "one", Incarnation: 1, ExcessPermille: 300, SpeedPermille: 1500},
		{Upstream: "two", Incarnation: 2, ExcessPermille: 300},
	}}}
	d.applyClusterLoad(&wire.LoadShare{}, reply)
	if share := d.loadShare(); share.GetProfileTable() != 7 || share.GetProfilePosition() != 3 {
		t.Errorf("the next report names position %d of table %d, want 3 of 7", share.GetProfilePosition(), share.GetProfileTable())
	}
	if n := chosen(); n > 30 {
		t.Errorf("the upstream that fails was chosen %d of 160 times", n)
	}
	if two := d.clusterLoad.ProfileOf(d.now(), d.registry.Get("two")); two != (profiler.Profile{}) {
		t.Errorf("profile %+v of another run", two)
	}
	lost := d.loadShare()
	sent := len(lost.GetSums())
	d.release(acquire(), outcomeFailed, 1)
	lost = d.loadShare()
	d.requeueCachedParts(lost)
	if again := d.loadShare(); sent != 0 || len(lost.GetSums()) != 1 || len(again.GetSums()) != 1 {
		t.Errorf("%d rows before an attempt, %d after it, %d after the message was lost; want 0, 1, 1", sent, len(lost.GetSums()), len(again.GetSums()))
	}
	late := d.now() + time.Minute
	if one := d.clusterLoad.ProfileOf(late, d.registry.Get("one")); one != (profiler.Profile{Speed: 1.5}) {
		t.Errorf("profile %+v without contact, want the speed only", one)
	}
	d.applyClusterLoad(&wire.LoadShare{}, &wire.FollowReply{Table: 8, Profiles: &wire.UpstreamProfiles{}})
	if one := d.clusterLoad.ProfileOf(d.now(), d.registry.Get("one")); one != (profiler.Profile{Speed: 1.5}) {
		t.Errorf("profile %+v by a control process that does not know it, want the speed only", one)
	}
}

// TestSpeedIsObserved guards against speeds that are observed at deployments whose upstreams report no
// slowdown, and against ones that are not observed where they do.
func TestSpeedIsObserved(t *testing.T) {
	for name, test := range map[string]struct {
		load   *registrar.Load
		weight bool
	}{
		"no load":      {nil, false},
		"three fields": {&registrar.Load{Running: 1, Slots: 64}, false},
		"four fields":  {&registrar.Load{Running: 1, Slots: 64, Slowdown: 1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			d, acquire := newProfileTest(t)
			for range 20 {
				g := acquire()
				d.observeResponse(g, &http.Response{StatusCode: http.StatusOK}, translator.ResponseInfo{Load: test.load})
				d.release(g, outcomeAnswered, 1)
			}
			weight := float32(0)
			for _, s := range d.loadShare().GetSums() {
				weight += s.GetWeight()
			}
			if (weight > 0) != test.weight {
				t.Errorf("observations of the speed have the weight %v", weight)
			}
		})
	}
}
