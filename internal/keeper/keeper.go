// Package keeper implements the replicated state machine of the control processes.
// It holds the configuration, keys, audit trail, idempotency claims, usage windows,
// intents of orders to the platform, fencing numbers and evacuated failure domains.
// Every replica applies the same commands in the same order and reaches the same
// state. It never reads a clock: the time is that of the commands.
package keeper

import (
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/pkg/evacuator"
	"github.com/comfreybend/comfreybend/pkg/matcher"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/replicator"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// maxRecentChanges is the number of accepted changes kept for incremental syncs.
	maxRecentChanges = 1024
	// maxRecentBytes bounds the total encoded size of the kept changes; one of them may
	// hold a whole configuration.
	maxRecentBytes = 4 << 20
	// maxKeptWindows is the number of windows above which the oldest is dropped if
	// the platform has accepted it.
	maxKeptWindows = 100
	// pushRetentionMillis is how long the latest usage push of a silent entry
	// process is kept.
	pushRetentionMillis = 7 * 24 * 60 * 60 * 1000
	// finalPushRetentionMillis is how long the last usage push of a stopped entry
	// process is kept, so that delayed pushes are not counted again.
	finalPushRetentionMillis = 60 * 60 * 1000
)

// StateMachine holds the durable state. It is safe for concurrent use.
type StateMachine struct {
	// OnDeparture is called for each departure that is applied or restored. It is set before
	// the first use.
	OnDeparture func(registrar.Departure)

	mu sync.RWMutex

	// latestMillis is the latest time of any command, in Unix milliseconds.
	latestMillis int64
	catalog      *configurer.Catalog
	// changed is closed and replaced when the catalog or the evacuations change.
	changed chan struct{}
	// recentChanges holds the latest accepted changes, without gaps, for incremental syncs.
	recentChanges []*state.Revised
	// earlierCatalogs holds the latest catalogs before the current one, oldest first.
	earlierCatalogs []*configurer.Catalog

	// audit is the audit trail, oldest record first.
	audit           []*state.AuditRecord
	auditSequence   uint64
	auditByChangeID map[string]*state.AuditRecord

	claims map[claimKey]*state.ClaimState
	// claimsByAge holds the same claims, oldest first.
	claimsByAge []*state.ClaimState
	// claimCounts is the number of claims by organisation.
	claimCounts map[string]int

	// latestPushes holds the latest usage push by incarnation of the entry process.
	latestPushes map[string]*state.Usage
	// pendingRows is the usage of the window in progress.
	pendingRows map[usageRowKey]*state.UsageRow
	// windows holds the frozen windows, oldest first.
	windows []*state.Window
	// windowNumber is the number of the last frozen window that is not aligned.
	windowNumber uint64
	// windowStartMillis is the start of the window in progress in Unix milliseconds, zero before the first usage.
	windowStartMillis int64

	// fencingNumber is the latest one, zero before the first.
	fencingNumber uint64
	// leaseHolder is the host that fencingNumber was issued to.
	leaseHolder string
	// openIntents holds the intents of the orders whose outcome is not yet known.
	openIntents []*state.Intent

	// document is the version and content of the current document, nil before the first one.
	document *state.Document
	// alignedWindow is the highest number of a frozen window that is aligned to agreed time.
	alignedWindow uint64
	// expectedHosts is the number of entry hosts that are expected to report the next aligned window.
	expectedHosts int

	// departures holds the runs of upstreams that leave.
	departures *registrar.Departures
	// versions holds the software versions that serve each pool.
	versions *matcher.History
	// evacuations holds the evacuated failure domains.
	evacuations *evacuator.Set

	contentMu sync.Mutex
	// contents holds the latest results of ContentBetween, oldest first. contentMu guards it.
	contents []cachedContent
}

// New returns a state machine with an empty state.
func New() *StateMachine {
	m := &StateMachine{changed: make(chan struct{}), OnDeparture: func(registrar.Departure) {}}
	m.reset()
	return m
}

// Apply applies one encoded command, which is at an index of the log, and returns the reply to its
// proposer.
func (m *StateMachine) Apply(index replicator.Index, data []byte) *wire.ProposeReply {
	command := &state.Command{}
	if err := proto.Unmarshal(data, command); err != nil {
		return refused("invalid", err.Error())
	}
	reply := m.apply(index, command)
	if d := command.GetDeparture(); d != nil {
		m.OnDeparture(departureOf(d))
	}
	return reply
}

func (m *StateMachine) apply(index replicator.Index, command *state.Command) *wire.ProposeReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latestMillis = max(m.latestMillis, command.GetAtMillis())
	switch kind := command.GetKind().(type) {
	case *state.Command_Change:
		return m.applyChange(kind.Change, command.GetLimits())
	case *state.Command_Claim:
		return m.applyClaim(kind.Claim, command.GetLimits())
	case *state.Command_ClaimOutcome:
		return m.applyClaimOutcome(kind.ClaimOutcome)
	case *state.Command_UsageBatch:
		return m.applyUsageBatch(kind.UsageBatch, command.GetLimits())
	case *state.Command_FreezeWindow:
		return m.applyFreezeWindow(kind.FreezeWindow)
	case *state.Command_WindowSent:
		return m.applyWindowSent(kind.WindowSent)
	case *state.Command_Intent:
		return m.applyIntent(kind.Intent)
	case *state.Command_IntentOutcome:
		return m.applyIntentOutcome(kind.IntentOutcome)
	case *state.Command_Fence:
		return m.applyFence(kind.Fence)
	case *state.Command_Document:
		return m.applyDocument(kind.Document, command.GetLimits())
	case *state.Command_Departure:
		return m.applyDeparture(kind.Departure)
	case *state.Command_PoolVersion:
		return m.applyPoolVersion(kind.PoolVersion)
	case *state.Command_EvacuationOrder:
		return m.applyEvacuationOrder(index, kind.EvacuationOrder, command.GetLimits())
	default:
		return refused("invalid", "unknown command")
	}
}

// Snapshot encodes the whole state.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &state.Snapshot{
		Revision:          uint64(m.catalog.Revision()),
		Configuration:     m.catalog.Configuration(),
		Keys:              m.catalog.Keys(),
		Audit:             m.audit,
		AuditSequence:     m.auditSequence,
		Claims:            m.claimsByAge,
		Windows:           m.windows,
		WindowNumber:      m.windowNumber,
		WindowStartMillis: m.windowStartMillis,
		FencingNumber:     m.fencingNumber,
		Holder:            m.leaseHolder,
		OpenIntents:       m.openIntents,
		RecentChanges:     m.recentChanges,
		ClockMillis:       m.latestMillis,
		Document:          m.document,
		AlignedWindow:     m.alignedWindow,
		AlignedHosts:      int32(m.expectedHosts),
		Departures:        departuresToState(m.departures),

		DeparturesCommitted: uint64(m.departures.Position()),
		PoolVersions:        versionsToState(m.versions),
		Evacuations:         announcer.EvacuationsToState(m.evacuations),
	}
	for _, u := range m.latestPushes {
		s.Usage = append(s.Usage, u)
	}
	for _, row := range m.pendingRows {
		s.Pending = append(s.Pending, row)
	}
	data, err := proto.Marshal(s)
	return data, errors.Wrap(err, "encoding the state")
}

// Restore replaces the state by that of a snapshot.
func (m *StateMachine) Restore(data []byte) error {
	s := &state.Snapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return errors.Wrap(err, "decoding the state")
	}
	m.restore(s)
	for _, d := range s.GetDepartures() {
		m.OnDeparture(departureOf(d))
	}
	return nil
}

func (m *StateMachine) restore(s *state.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset()
	m.latestMillis = s.GetClockMillis()
	m.catalog = configurer.Restore(configurer.Revision(s.GetRevision()), s.GetConfiguration(), s.GetKeys())
	m.recentChanges = s.GetRecentChanges()
	m.audit = s.GetAudit()
	m.auditSequence = s.GetAuditSequence()
	for _, r := range m.audit {
		m.auditByChangeID[r.GetChangeId()] = r
	}
	for _, c := range s.GetClaims() {
		m.addClaim(c)
	}
	for _, u := range s.GetUsage() {
		m.latestPushes[u.GetIncarnation()] = u
	}
	for _, row := range s.GetPending() {
		m.pendingRows[usageRowKeyOf(row)] = row
	}
	m.windows = s.GetWindows()
	m.windowNumber = s.GetWindowNumber()
	m.windowStartMillis = s.GetWindowStartMillis()
	m.fencingNumber = s.GetFencingNumber()
	m.leaseHolder = s.GetHolder()
	m.openIntents = s.GetOpenIntents()
	m.notifyChanged()
	m.document = s.GetDocument()
	m.alignedWindow = s.GetAlignedWindow()
	m.expectedHosts = int(s.GetAlignedHosts())
	for _, d := range s.GetDepartures() {
		m.departures.Add(departureOf(d))
	}
	m.departures.Restore(registrar.Position(s.GetDeparturesCommitted()))
	for _, v := range s.GetPoolVersions() {
		m.versions.Add(originOf(v))
	}
	m.evacuations = announcer.EvacuationsOf(s.GetEvacuations())
}

func (m *StateMachine) reset() {
	m.catalog = configurer.New()
	m.recentChanges, m.earlierCatalogs = nil, nil
	m.audit = nil
	m.auditByChangeID = map[string]*state.AuditRecord{}
	m.claims = map[claimKey]*state.ClaimState{}
	m.claimsByAge = nil
	m.claimCounts = map[string]int{}
	m.latestPushes = map[string]*state.Usage{}
	m.pendingRows = map[usageRowKey]*state.UsageRow{}
	m.document = nil
	m.departures = registrar.NewDepartures(maxDepartures)
	m.versions = matcher.NewHistory(maxVersions)
	m.evacuations = &evacuator.Set{}
}

func refused(reason, detail string) *wire.ProposeReply {
	return &wire.ProposeReply{Outcome: &state.Outcome{Reason: reason, Detail: detail}}
}

func accepted() *wire.ProposeReply {
	return &wire.ProposeReply{Outcome: &state.Outcome{Accepted: true}}
}
