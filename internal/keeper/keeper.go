// Package keeper is the state machine of the control processes: configuration,
// keys, audit trail, idempotency claims, usage windows, order intents and
// fencing numbers. Every replica applies the same commands in the same order
// and comes to the same state; nothing in it reads a clock.
package keeper

import (
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// recentChanges is the number of accepted operations kept for incremental syncs.
	recentChanges = 1024
	// recentBytes bounds their size; a whole configuration may be large.
	recentBytes = 4 << 20
	// sentWindows is the number of windows kept after they were sent.
	sentWindows = 100
	// incarnationMillis is how long the counters of a silent entry process are kept.
	incarnationMillis = 7 * 24 * 60 * 60 * 1000
	// finalMillis is how long the counters of a stopped entry process are kept, for delayed pushes.
	finalMillis = 60 * 60 * 1000
)

// StateMachine holds the durable state. Reads may run beside Apply.
type StateMachine struct {
	mu sync.RWMutex

	clock   int64
	catalog *configurer.Catalog
	// changed is closed when the catalog changes.
	changed chan struct{}
	recent  []*state.Revised

	audit         []*state.AuditRecord
	auditSequence uint64
	byChangeID    map[string]*state.AuditRecord

	claims     map[claimKey]*state.ClaimState
	claimOrder []*state.ClaimState
	claimCount map[string]int

	usage       map[string]*state.Usage
	pending     map[rowKey]*state.UsageRow
	windows     []*state.Window
	number      uint64
	windowStart int64

	fence   uint64
	holder  string
	intents []*state.Intent

	// document is the latest document's version and content.
	document *state.Document
	// aligned is the highest number of a window that is aligned to true time.
	aligned uint64
	// alignedHosts is the number of entry hosts that are likely to tell of the next one.
	alignedHosts int
}

// New returns the empty state.
func New() *StateMachine {
	k := &StateMachine{changed: make(chan struct{})}
	k.reset()
	return k
}

// Apply applies one encoded command and returns its result.
func (k *StateMachine) Apply(data []byte) *wire.ProposeReply {
	command := &state.Command{}
	if err := proto.Unmarshal(data, command); err != nil {
		return refused("invalid", err.Error())
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.clock = max(k.clock, command.GetAtMillis())
	switch kind := command.GetKind().(type) {
	case *state.Command_Change:
		return k.applyChange(kind.Change, command.GetLimits())
	case *state.Command_Claim:
		return k.applyClaim(kind.Claim, command.GetLimits())
	case *state.Command_ClaimOutcome:
		return k.applyClaimOutcome(kind.ClaimOutcome)
	case *state.Command_UsageBatch:
		return k.applyUsage(kind.UsageBatch, command.GetLimits())
	case *state.Command_FreezeWindow:
		return k.applyFreeze(kind.FreezeWindow)
	case *state.Command_WindowSent:
		return k.applySent(kind.WindowSent)
	case *state.Command_Intent:
		return k.applyIntent(kind.Intent)
	case *state.Command_IntentOutcome:
		return k.applyIntentOutcome(kind.IntentOutcome)
	case *state.Command_Fence:
		return k.applyFence(kind.Fence)
	case *state.Command_Document:
		return k.applyDocument(kind.Document, command.GetLimits())
	default:
		return refused("invalid", "unknown command")
	}
}

// Snapshot encodes the whole state.
func (k *StateMachine) Snapshot() ([]byte, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	s := &state.Snapshot{
		Revision:          uint64(k.catalog.Revision()),
		Configuration:     k.catalog.Configuration(),
		Keys:              k.catalog.Keys(),
		Audit:             k.audit,
		AuditSequence:     k.auditSequence,
		Claims:            k.claimOrder,
		Windows:           k.windows,
		WindowNumber:      k.number,
		WindowStartMillis: k.windowStart,
		FencingNumber:     k.fence,
		Holder:            k.holder,
		OpenIntents:       k.intents,
		Recent:            k.recent,
		ClockMillis:       k.clock,
		Document:          k.document,
		AlignedWindow:     k.aligned,
		AlignedHosts:      int32(k.alignedHosts),
	}
	for _, u := range k.usage {
		s.Usage = append(s.Usage, u)
	}
	for _, row := range k.pending {
		s.Pending = append(s.Pending, row)
	}
	data, err := proto.Marshal(s)
	return data, errors.Wrap(err, "encoding the state")
}

// Restore replaces the state by an encoded one.
func (k *StateMachine) Restore(data []byte) error {
	s := &state.Snapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return errors.Wrap(err, "decoding the state")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reset()
	k.clock = s.GetClockMillis()
	k.catalog = configurer.Restore(configurer.Revision(s.GetRevision()), s.GetConfiguration(), s.GetKeys())
	k.recent = s.GetRecent()
	k.audit = s.GetAudit()
	k.auditSequence = s.GetAuditSequence()
	for _, r := range k.audit {
		k.byChangeID[r.GetChangeId()] = r
	}
	for _, c := range s.GetClaims() {
		k.addClaim(c)
	}
	for _, u := range s.GetUsage() {
		k.usage[u.GetIncarnation()] = u
	}
	for _, row := range s.GetPending() {
		k.pending[keyOfRow(row)] = row
	}
	k.windows = s.GetWindows()
	k.number = s.GetWindowNumber()
	k.windowStart = s.GetWindowStartMillis()
	k.fence = s.GetFencingNumber()
	k.holder = s.GetHolder()
	k.intents = s.GetOpenIntents()
	k.announceChange()
	k.document = s.GetDocument()
	k.aligned = s.GetAlignedWindow()
	k.alignedHosts = int(s.GetAlignedHosts())
	return nil
}

func (k *StateMachine) reset() {
	k.catalog = configurer.New()
	k.recent = nil
	k.audit = nil
	k.byChangeID = map[string]*state.AuditRecord{}
	k.claims = map[claimKey]*state.ClaimState{}
	k.claimOrder = nil
	k.claimCount = map[string]int{}
	k.usage = map[string]*state.Usage{}
	k.pending = map[rowKey]*state.UsageRow{}
	k.document = nil
}

func refused(reason, detail string) *wire.ProposeReply {
	return &wire.ProposeReply{Outcome: &state.Outcome{Reason: reason, Detail: detail}}
}

func accepted() *wire.ProposeReply {
	return &wire.ProposeReply{Outcome: &state.Outcome{Accepted: true}}
}
