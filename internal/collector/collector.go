// Package collector collects in a control process what entry processes observe of upstreams, and
// passes it on to the other control processes.
package collector

import (
	"sort"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/isolator"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// evidenceRepeats is the number of periodic gossip messages in which changed evidence is
	// sent again, in case one is lost.
	evidenceRepeats = 10
	// evidenceRefresh is the number of periodic gossip messages after which all evidence is
	// sent.
	evidenceRefresh = 30
)

type (
	// Table holds the evidence about prompt parts that entry processes report. It is
	// kept in memory only: entry processes report theirs again to a restarted process.
	Table struct {
		mu       sync.Mutex
		isolator *isolator.Isolator
		// updated is closed and replaced at each change.
		updated chan struct{}
		// logged holds the parts whose hold was logged.
		logged map[isolator.PartID]bool
	}

	// Gossip chooses the evidence in gossip messages.
	Gossip struct {
		// sent is the position up to which the evidence was sent.
		sent isolator.Position
		// earlier holds the positions at the latest periodic messages, oldest first.
		earlier []isolator.Position
		// untilRefresh counts the periodic messages until all evidence is sent.
		untilRefresh int
	}
)

// NewTable returns a table without evidence.
func NewTable() *Table {
	return &Table{isolator: isolator.New(), updated: make(chan struct{}), logged: map[isolator.PartID]bool{}}
}

// Merge adds evidence and reports whether any of it was new.
func (t *Table) Merge(now time.Time, e *wire.Evidence) bool {
	if e == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isolator.Merge(now, announcer.EvidenceFromWire(e)) {
		return false
	}
	close(t.updated)
	t.updated = make(chan struct{})
	return true
}

// Since returns the evidence that changed after a position, the position reached, and a
// channel that is closed at the next change.
func (t *Table) Since(after isolator.Position) (*wire.Evidence, isolator.Position, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after == t.isolator.Position() {
		return nil, after, t.updated
	}
	e, position := t.isolator.Since(after)
	return announcer.EvidenceToWire(e), position, t.updated
}

// Lift clears a part of the evidence so far.
func (t *Table) Lift(now time.Time, id isolator.PartID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.isolator.Position()
	t.isolator.Lift(now, id)
	if t.isolator.Position() != before {
		close(t.updated)
		t.updated = make(chan struct{})
	}
}

// Accused returns the parts against which there is evidence, ordered by id.
func (t *Table) Accused() []*wire.AccusedPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*wire.AccusedPart
	for _, v := range t.isolator.Verdicts() {
		part := &wire.AccusedPart{
			Id: string(v.Part), Instants: int32(v.Instants), Held: !v.HeldFrom.IsZero(),
			FirstEndMillis: v.FirstEnd.UnixMilli(), LastEndMillis: v.LastEnd.UnixMilli(),
		}
		if part.GetHeld() {
			part.HeldUntilMillis = v.HeldUntil.UnixMilli()
		}
		out = append(out, part)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetId() < out[j].GetId() })
	return out
}

// NewlyHeld returns the parts that are held, now or soon, and were not at the latest call.
func (t *Table) NewlyHeld() []isolator.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var added []isolator.Verdict
	held := map[isolator.PartID]bool{}
	for _, v := range t.isolator.Verdicts() {
		if v.HeldFrom.IsZero() {
			continue
		}
		held[v.Part] = true
		if !t.logged[v.Part] {
			added = append(added, v)
		}
	}
	t.logged = held
	return added
}

// Next returns the evidence for a gossip message: what has changed since the latest one, and
// in a periodic message what has changed lately.
func (g *Gossip) Next(t *Table, periodic bool) *wire.Evidence {
	after := g.sent
	if periodic {
		g.earlier = append(g.earlier, g.sent)
		if len(g.earlier) > evidenceRepeats {
			g.earlier = g.earlier[1:]
		}
		after = g.earlier[0]
		if g.untilRefresh--; g.untilRefresh <= 0 {
			g.untilRefresh, after = evidenceRefresh, 0
		}
	}
	evidence, position, _ := t.Since(after)
	g.sent = position
	return evidence
}
