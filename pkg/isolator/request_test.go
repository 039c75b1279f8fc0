package isolator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// ends returns runs that ended at given times after the start.
func ends(first RunID, at ...time.Duration) []Run {
	var out []Run
	for n, d := range at {
		out = append(out, Run{ID: first + RunID(n), EndedAt: start.Add(d)})
	}
	return out
}

// TestHeldRequests checks which requests are held, from the ends under single calls.
func TestHeldRequests(t *testing.T) {
	type call struct {
		id     PartID
		before RunID
		ends   []Run
		// others are engines that ended at the same time.
		others []RunID
	}
	const short = 20 * time.Millisecond
	// crowd returns calls under which many engines ended at three moments.
	crowd := func() []call {
		var calls []call
		for n := range 3 * 2 * commonEnds {
			calls = append(calls, call{id: PartID(fmt.Sprint("sound-", n)), ends: ends(RunID(1000+n), time.Duration(n%3)*second)})
		}
		return calls
	}
	tests := map[string]struct {
		calls []call
		// response is the time of a response that speaks for the requests, none if it is zero.
		response time.Duration
		held     []PartID
	}{
		"two ends under one call are too few": {calls: []call{{id: "bad", ends: ends(1, 0, short)}}},
		"two calls, one after the other": {calls: []call{
			{id: "bad", ends: ends(1, 0, short)}, {id: "bad", before: 2, ends: ends(3, 2*short)},
		}, held: []PartID{"bad"}},
		"two calls that know nothing of each other": {calls: []call{
			{id: "bad", ends: ends(1, 0, short)}, {id: "bad", ends: ends(3, second, second+short)},
		}, held: []PartID{"bad"}},
		"in the same millisecond": {calls: []call{
			{id: "bad", ends: ends(7, 0, 0)}, {id: "bad", before: 8, ends: ends(3, 0)},
		}, held: []PartID{"bad"}},
		"one call through a domain that is lost": {calls: []call{
			{id: "sound", ends: ends(1, 0, short, 2*short), others: []RunID{1, 2, 3, 4}},
		}},
		"others that ended under the same request": {calls: []call{
			{id: "bad", ends: ends(1, 0, short)}, {id: "bad", before: 2, ends: ends(3, 2*short), others: []RunID{1, 2, 3}},
		}, held: []PartID{"bad"}},
		"twice under each of three calls while many others end": {calls: append(crowd(),
			call{id: "bad", ends: ends(1, 0, short)},
			call{id: "bad", ends: ends(3, second, second+short)},
			call{id: "bad", ends: ends(5, 2*second, 2*second+short)},
		), held: []PartID{"bad"}},
		"many at a lost domain after one has ended": {calls: []call{
			{id: "popular", ends: ends(1, 0)},
			{id: "popular", before: 1, ends: ends(2, second)},
			{id: "popular", before: 1, ends: ends(3, second)},
			{id: "popular", before: 1, ends: ends(4, second)},
		}},
		"three calls that run once each": {calls: []call{
			{id: "bad", ends: ends(1, 0)}, {id: "bad", ends: ends(2, second)}, {id: "bad", ends: ends(3, 2*second)},
		}, held: []PartID{"bad"}},
		"a popular one at a lost domain": {calls: []call{
			{id: "popular", ends: ends(1, 0)}, {id: "popular", ends: ends(2, short)}, {id: "popular", ends: ends(3, 2*short)}, {id: "popular", ends: ends(4, 3*short)},
		}},
		"a popular one that is answered": {calls: []call{
			{id: "popular", ends: ends(1, 0)}, {id: "popular", ends: ends(2, second)}, {id: "popular", ends: ends(3, 2*second)},
		}, response: 3 * second},
		"one that shared upstreams with the culprit": {calls: []call{
			{id: "bad", ends: ends(1, 0, short)},
			{id: "beside", ends: ends(1, 0, short)},
			{id: "bad", ends: ends(3, second)},
			{id: "beside", ends: ends(3, second)},
			{id: "bad", ends: ends(4, 2*second)},
		}, held: []PartID{"bad"}},
		"five culprits": {calls: []call{
			{id: "a", ends: ends(1, 0, second)},
			{id: "b", ends: ends(11, 0, second)},
			{id: "c", ends: ends(21, 0, second)},
			{id: "d", ends: ends(31, 0, second)},
			{id: "e", ends: ends(41, 0, second)},
			{id: "a", ends: ends(3, 3*second)},
			{id: "b", ends: ends(13, 3*second)},
			{id: "c", ends: ends(23, 3*second)},
			{id: "d", ends: ends(33, 3*second)},
			{id: "e", ends: ends(43, 3*second)},
		}, held: []PartID{"a", "b", "c", "d", "e"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			one, other := New(), New()
			var ids []PartID
			for _, c := range test.calls {
				one.RecordRequestEnds(start.Add(10*second), c.id, 0, c.before, c.ends, c.others)
				ids = append(ids, c.id)
			}
			if test.response > 0 {
				one.RecordResponse(start.Add(test.response), ids)
			}
			held := append([]PartID{}, test.held...)
			if got := heldParts(one); !slices.Equal(got, held) {
				t.Errorf("held %v, want %v; verdicts %v", got, held, one.Verdicts())
			}
			e, _ := one.Since(0)
			other.Merge(start.Add(10*second), e)
			if got := heldParts(other); !slices.Equal(got, held) {
				t.Errorf("another process holds %v, want %v", got, held)
			}
		})
	}
}

// TestLatestEnd guards against an end that is taken for an earlier one than that which it followed,
// since their times are the same.
func TestLatestEnd(t *testing.T) {
	for _, first := range []RunID{1, 9} {
		i := New()
		if i.LatestEnd("a") != 0 {
			t.Error("an end is known at the start")
		}
		i.RecordRequestEnds(start.Add(second), "a", 0, 0, []Run{{ID: first, EndedAt: start}, {ID: 5, EndedAt: start}}, nil)
		if got := i.LatestEnd("a"); got != 5 {
			t.Errorf("run %d is the latest, want 5, which followed %d", got, first)
		}
		i.RecordRequestEnds(start.Add(second), "a", 0, 5, []Run{{ID: 3, EndedAt: start}}, nil)
		if got := i.Ends("a"); got != 3 {
			t.Errorf("%d moments of three ends that followed each other", got)
		}
	}
}

// TestCircularEvidence guards against evidence that no process can have made and that never ends.
func TestCircularEvidence(t *testing.T) {
	i := New()
	i.Merge(start.Add(second), Evidence{
		Runs: ends(1, 0, 0), Parts: []Part{{ID: "a", Runs: []RunID{1, 2}, After: []RunID{2, 1}}},
	})
	if got := i.Ends("a"); got < 1 || got > 2 {
		t.Errorf("%d moments of two runs", got)
	}
}

// TestRequestAndItsPrompt guards against a part of a prompt that is held instead of the request that
// crashes engines, when both explain the same ends: other prompts may share the part.
func TestRequestAndItsPrompt(t *testing.T) {
	i := New()
	for n := range 3 {
		at := time.Duration(n) * second
		i.RecordEnd(start.Add(at), RunID(n+1), []PartID{"shared", "document"})
		i.RecordRequestEnds(start.Add(at), "request-1", 2, 0, ends(RunID(n+1), at), nil)
	}
	if got := heldParts(i); !slices.Equal(got, []PartID{"request-1"}) {
		t.Errorf("held %v, want the request", got)
	}
}

// TestRequestEvidenceConverges guards against processes that decide differently after the same
// evidence came late, twice or in another order.
func TestRequestEvidenceConverges(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 5))
		source := New()
		var messages []Evidence
		position := Position(0)
		for n := range 12 {
			at := start.Add(time.Duration(r.IntN(4000)) * time.Millisecond)
			id := PartID(fmt.Sprint("request-", r.IntN(3)))
			if r.IntN(5) == 0 {
				source.RecordResponse(at, []PartID{id})
			} else {
				first := RunID(1 + r.IntN(20))
				source.RecordRequestEnds(at, id, 0, source.LatestEnd(id), []Run{{ID: first, EndedAt: at}, {ID: first + 100, EndedAt: at.Add(time.Duration(n) * time.Millisecond)}}, nil)
			}
			var e Evidence
			e, position = source.Since(position)
			messages = append(messages, e)
		}
		now := start.Add(10 * second)
		want := fmt.Sprint(heldParts(source))
		for range 4 {
			other := New()
			for _, n := range append(r.Perm(len(messages)), r.Perm(len(messages))...) {
				other.Merge(now, messages[n])
			}
			if got := fmt.Sprint(heldParts(other)); got != want {
				t.Fatalf("seed %d: held %s, want %s", seed, got, want)
			}
		}
	}
}

type (
	// desk describes hosts that send requests to the upstreams of a service: repeats of culprits,
	// a popular request, and others of their own.
	desk struct {
		hosts, upstreams int
		culprits         int
		// culpritsPerSecond is the rate of the repeats of each culprit, popularPerSecond that of the
		// popular request, and ownPerSecond that of the others.
		culpritsPerSecond, popularPerSecond, ownPerSecond float64
		// endsPerSecond is the rate at which upstreams end for other reasons, one at a time or all
		// of a quarter of them at the same moment.
		endsPerSecond float64
		together      bool
		// exchange is the time until evidence is known everywhere.
		exchange time.Duration
		// once reports that calls are not repeated.
		once bool
	}

	deskCall struct {
		host    int
		id      PartID
		culprit bool
		before  RunID
		ended   []Run
		endsAt  time.Time
	}

	deskUpstream struct {
		run    RunID
		backAt time.Time
		calls  []*deskCall
	}

	// deskResult counts upstreams that culprits ended, those more than reactionTime after the
	// third under one culprit, and what became of other requests.
	deskResult struct {
		ended, late, others, lost, refused int
	}
)

// play simulates the desk as the entry processes act: a call is sent once more after an upstream
// has ended under it, unless others have ended under the same request.
func (d desk) play(seed uint64, length time.Duration) deskResult {
	const (
		step     = 10 * time.Millisecond
		down     = 3 * time.Second
		runTime  = 15 * time.Millisecond
		crashFor = 100 * time.Millisecond
	)
	r := rand.New(rand.NewPCG(seed, 9))
	hosts, cursors := make([]*Isolator, d.hosts), make([]Position, d.hosts)
	for n := range hosts {
		hosts[n] = New()
	}
	var runs RunID
	upstreams := make([]*deskUpstream, d.upstreams)
	for n := range upstreams {
		runs++
		upstreams[n] = &deskUpstream{run: runs}
	}
	type message struct {
		at time.Time
		e  Evidence
	}
	var (
		result   deskResult
		messages []message
		culprits = map[PartID][]time.Time{}
		own      int
	)
	now := start
	report := func(c *deskCall) {
		if len(c.ended) > 0 {
			hosts[c.host].RecordRequestEnds(now, c.id, 0, c.before, c.ended, nil)
		}
		if !c.culprit {
			result.lost++
		}
	}
	send := func(c *deskCall) {
		var up []*deskUpstream
		for _, u := range upstreams {
			if !now.Before(u.backAt) {
				up = append(up, u)
			}
		}
		if len(up) == 0 {
			report(c)
			return
		}
		u := up[r.IntN(len(up))]
		c.endsAt = now.Add(runTime)
		if c.culprit {
			c.endsAt = now.Add(crashFor)
			if times := culprits[c.id]; len(times) >= 3 && now.Sub(times[2]) > reactionTime {
				result.late++
			}
		}
		u.calls = append(u.calls, c)
	}
	arrive := func(c *deskCall) {
		h := hosts[c.host]
		if !c.culprit {
			result.others++
		}
		if h.Admit(now, fmt.Sprint("host-", c.host), d.hosts, []PartID{c.id}).Refused != nil || h.SettlesIn(now, c.id) > 0 {
			if !c.culprit {
				result.refused++
			}
			return
		}
		c.before = h.LatestEnd(c.id)
		send(c)
	}
	end := func(u *deskUpstream) {
		broken, run := u.calls, u.run
		runs++
		u.calls, u.run, u.backAt = nil, runs, now.Add(down)
		for _, c := range broken {
			known := hosts[c.host].Ends(c.id)
			c.ended = append(c.ended, Run{ID: run, EndedAt: now})
			if d.once || len(c.ended) >= 2 || known > 0 {
				report(c)
				continue
			}
			send(c)
		}
	}
	chance := func(perSecond float64) bool { return r.Float64() < perSecond*step.Seconds() }
	for ; now.Before(start.Add(length)); now = now.Add(step) {
		for n := range d.culprits {
			if chance(d.culpritsPerSecond) {
				arrive(&deskCall{host: r.IntN(d.hosts), id: PartID(fmt.Sprint("bad-", n)), culprit: true})
			}
		}
		if chance(d.popularPerSecond) {
			arrive(&deskCall{host: r.IntN(d.hosts), id: "popular"})
		}
		if chance(d.ownPerSecond) {
			own++
			arrive(&deskCall{host: r.IntN(d.hosts), id: PartID(fmt.Sprint("own-", own))})
		}
		if chance(d.endsPerSecond) {
			struck := []*deskUpstream{upstreams[r.IntN(len(upstreams))]}
			if d.together {
				struck = upstreams[:(len(upstreams)+3)/4]
			}
			for _, u := range struck {
				end(u)
			}
		}
		for _, u := range upstreams {
			var culprit *deskCall
			kept := u.calls[:0]
			for _, c := range u.calls {
				switch {
				case now.Before(c.endsAt):
					kept = append(kept, c)
				case c.culprit:
					culprit = c
					kept = append(kept, c)
				case len(hosts[c.host].parts) > 0:
					hosts[c.host].RecordResponse(now, []PartID{c.id})
				}
			}
			u.calls = kept
			if culprit != nil {
				result.ended++
				culprits[culprit.id] = append(culprits[culprit.id], now)
				end(u)
			}
		}
		for n, h := range hosts {
			if e, position := h.Since(cursors[n]); position != cursors[n] {
				cursors[n] = position
				messages = append(messages, message{at: now.Add(d.exchange), e: e})
			}
		}
		for len(messages) > 0 && !now.Before(messages[0].at) {
			for n, h := range hosts {
				if h.Merge(now, messages[0].e); true {
					cursors[n] = h.Position()
				}
			}
			messages = messages[1:]
		}
	}
	return result
}

// TestDeskStopsCulprits guards against a request that ends one upstream after the other while each
// of many hosts gets it once or twice, and against sound requests that are refused since they
// shared upstreams with it, come often or ran when upstreams ended for another reason.
func TestDeskStopsCulprits(t *testing.T) {
	const (
		mostLate = 3
		exchange = 300 * time.Millisecond
	)
	for _, hosts := range []int{2, 7, 88, 194} {
		tests := map[string]struct {
			desk
			// mostEnded bounds the upstreams that end, for each culprit.
			mostEnded int
		}{
			"one culprit":               {desk: desk{upstreams: 4, culprits: 1, culpritsPerSecond: 6, popularPerSecond: 10, ownPerSecond: 30}, mostEnded: 8},
			"many upstreams":            {desk: desk{upstreams: 60, culprits: 1, culpritsPerSecond: 10, popularPerSecond: 20, ownPerSecond: 60}, mostEnded: 14},
			"a rare culprit":            {desk: desk{upstreams: 6, culprits: 1, culpritsPerSecond: 0.5, popularPerSecond: 10, ownPerSecond: 30}, mostEnded: 6},
			"runs once":                 {desk: desk{upstreams: 6, culprits: 1, culpritsPerSecond: 6, popularPerSecond: 10, ownPerSecond: 30, once: true}, mostEnded: 10},
			"five culprits":             {desk: desk{upstreams: 30, culprits: 5, culpritsPerSecond: 4, popularPerSecond: 20, ownPerSecond: 60}, mostEnded: 10},
			"no culprit, random ends":   {desk: desk{upstreams: 6, popularPerSecond: 50, ownPerSecond: 30, endsPerSecond: 2}},
			"no culprit, lost together": {desk: desk{upstreams: 20, popularPerSecond: 60, ownPerSecond: 30, endsPerSecond: 0.3, together: true}},
			"a culprit and random ends": {desk: desk{upstreams: 20, culprits: 1, culpritsPerSecond: 6, popularPerSecond: 50, ownPerSecond: 30, endsPerSecond: 2}, mostEnded: 12},
		}
		for name, test := range tests {
			t.Run(fmt.Sprintf("%d hosts, %s", hosts, name), func(t *testing.T) {
				test.hosts, test.exchange = hosts, exchange
				for seed := range uint64(2) {
					got := test.play(seed, 20*time.Second)
					t.Logf("seed %d: %+v", seed, got)
					if got.ended > test.mostEnded*test.culprits || got.late > mostLate*test.culprits || got.refused > 0 {
						t.Errorf("seed %d: %d upstreams ended, %d requests came late, %d sound ones were refused; want at most %d, %d and none",
							seed, got.ended, got.late, got.refused, test.mostEnded*test.culprits, mostLate*test.culprits)
					}
				}
			})
		}
	}
}
