// Package collector collects in a control process what entry processes observe of upstreams, and
// passes it on to the other control processes.
package collector

import (
	"sort"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/identifier"
	"github.com/comfreybend/comfreybend/internal/withholder"
	"github.com/comfreybend/comfreybend/pkg/apportioner"
	"github.com/comfreybend/comfreybend/pkg/isolator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
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

// A Position has in its lowest bits the number of changes of the isolator, from limitShift on that
// of the request limits, and from keyShift on that of the key.
const (
	limitShift = 28
	keyShift   = 56
	countMask  = 1<<limitShift - 1
)

type (
	// Position numbers the changes of a Table.
	Position uint64

	// Table holds the evidence about prompt parts that entry processes report, and the request
	// limits that upstreams name to them. Entry processes report theirs again to a restarted
	// process, and a Store keeps what must outlast all processes.
	Table struct {
		mu       sync.Mutex
		isolator *isolator.Isolator
		limits   *apportioner.Register
		key      *identifier.Identifier
		// keyChanges is the number of keys that the table has had.
		keyChanges Position
		// updated is closed and replaced at each change.
		updated chan struct{}
		// logged holds the parts whose hold was logged.
		logged map[isolator.PartID]bool
	}

	// Gossip chooses the evidence in gossip messages.
	Gossip struct {
		// sent is the position up to which the evidence was sent.
		sent Position
		// earlier holds the positions at the latest periodic messages, oldest first.
		earlier []Position
		// untilRefresh counts the periodic messages until all evidence is sent.
		untilRefresh int
	}
)

// NewTable returns a table without evidence.
func NewTable() *Table {
	return &Table{isolator: isolator.New(), limits: apportioner.NewRegister(), key: identifier.NewWithKey(time.Now()), keyChanges: 1, updated: make(chan struct{}), logged: map[isolator.PartID]bool{}}
}

// Merge adds evidence and reports whether any of it was new.
func (t *Table) Merge(now time.Time, e *wire.Evidence) bool {
	if e == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.isolator.Merge(now, announcer.EvidenceFromWire(e))
	for _, s := range announcer.LimitsFromWire(e.GetLimits()) {
		changed = t.limits.Merge(now, s) || changed
	}
	if t.key.Merge(e.GetKey()) {
		t.keyChanges++
		changed = true
	}
	if !changed {
		return false
	}
	close(t.updated)
	t.updated = make(chan struct{})
	return true
}

// Since returns the evidence that changed after a position, the position reached, and a
// channel that is closed at the next change.
func (t *Table) Since(after Position) (*wire.Evidence, Position, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	position := t.position()
	if after == position {
		return nil, after, t.updated
	}
	e, _ := t.isolator.Since(isolator.Position(after & countMask))
	evidence := announcer.EvidenceToWire(e)
	if evidence == nil {
		evidence = &wire.Evidence{}
	}
	statements, _ := t.limits.Since(apportioner.Position(after >> limitShift & countMask))
	evidence.Limits = announcer.LimitsToWire(statements)
	if after>>keyShift != position>>keyShift {
		evidence.Key = t.key.Key()
	}
	return evidence, position, t.updated
}

// position returns the position of the latest change. The mutex must be held.
func (t *Table) position() Position {
	return t.keyChanges<<keyShift | Position(t.limits.Position())&countMask<<limitShift | Position(t.isolator.Position())&countMask
}

// Limits returns the upstreams that name a request limit.
func (t *Table) Limits() map[registrar.UpstreamID]apportioner.Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[registrar.UpstreamID]apportioner.Statement{}
	statements, _ := t.limits.Since(0)
	for _, s := range statements {
		if known, found := out[s.Upstream.ID]; s.Named && (!found || s.Upstream.Incarnation > known.Upstream.Incarnation) {
			out[s.Upstream.ID] = s
		}
	}
	return out
}

// Lift clears a part of the evidence so far.
func (t *Table) Lift(now time.Time, id isolator.PartID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.position()
	t.isolator.Lift(now, id)
	if t.position() != before {
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
func (t *Table) NewlyHeld() []withholder.Conviction {
	t.mu.Lock()
	defer t.mu.Unlock()
	var added []withholder.Conviction
	held := map[isolator.PartID]bool{}
	for _, v := range t.isolator.Verdicts() {
		if v.HeldFrom.IsZero() {
			continue
		}
		held[v.Part] = true
		if !t.logged[v.Part] {
			added = append(added, withholder.Conviction{Verdict: v, Grounds: t.isolator.Grounds(v.Part)})
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
