package keeper

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/pkg/reporter"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

type (
	// usageRowKey identifies a row of a usage window.
	usageRowKey struct {
		organisation string
		class        string
		late         bool
	}

	// ReportBody is the JSON body of the report on one window to the platform.
	ReportBody struct {
		Window      uint64      `json:"window"`
		StartMillis int64       `json:"startMillis"`
		EndMillis   int64       `json:"endMillis"`
		Rows        []ReportRow `json:"rows"`
	}

	// ReportRow is the usage of one organisation in one class.
	ReportRow struct {
		Organisation string `json:"organisation"`
		Class        string `json:"class"`
		// Late marks usage of which a part may be older than the start of this window
		// minus the settle time of the reporting settings, because it was reported late.
		Late      bool   `json:"late"`
		Calls     uint64 `json:"calls"`
		TokensIn  uint64 `json:"tokensIn"`
		TokensOut uint64 `json:"tokensOut"`
	}
)

// applyUsageBatch applies the usage pushes of entry processes and removes the kept
// pushes whose retention time has passed.
func (m *StateMachine) applyUsageBatch(batch *state.UsageBatch, limits *state.Limits) *wire.ProposeReply {
	if m.windowStartMillis == 0 {
		m.windowStartMillis = m.latestMillis
	}
	for _, push := range batch.GetPushes() {
		m.applyPush(push, limits.GetSettleMillis())
	}
	for id, u := range m.latestPushes {
		keep := int64(pushRetentionMillis)
		if u.GetFinal() {
			keep = finalPushRetentionMillis
		}
		if u.GetAtMillis()+keep < m.latestMillis {
			delete(m.latestPushes, id)
		}
	}
	return accepted()
}

// applyPush adds the difference between a push's cumulative counters and those of
// the previous push of the same incarnation to the window in progress. A push with
// lower counters than the previous one is ignored. Usage is late if part of it may
// be from more than settleMillis before the start of the window.
func (m *StateMachine) applyPush(push *state.Usage, settleMillis int64) {
	previousCounters := map[usageRowKey]*state.UsageCounter{}
	for _, c := range m.latestPushes[push.GetIncarnation()].GetCounters() {
		previousCounters[usageRowKey{organisation: c.GetOrganisation(), class: c.GetClass()}] = c
	}
	late := m.latestMillis-push.GetUnreportedMillis() < m.windowStartMillis-settleMillis
	for _, c := range push.GetCounters() {
		previous := previousCounters[usageRowKey{organisation: c.GetOrganisation(), class: c.GetClass()}]
		if c.GetCalls() < previous.GetCalls() || c.GetTokensOut() < previous.GetTokensOut() ||
			c.GetTokensIn() < previous.GetTokensIn() {
			// Counters only grow, so this push was delayed and a later one has been applied.
			return
		}
	}
	for _, c := range push.GetCounters() {
		previous := previousCounters[usageRowKey{organisation: c.GetOrganisation(), class: c.GetClass()}]
		m.addPendingRow(&state.UsageRow{
			Organisation: c.GetOrganisation(),
			Class:        c.GetClass(),
			Late:         late,
			Calls:        c.GetCalls() - previous.GetCalls(),
			TokensIn:     c.GetTokensIn() - previous.GetTokensIn(),
			TokensOut:    c.GetTokensOut() - previous.GetTokensOut(),
		})
	}
	latest := proto.Clone(push).(*state.Usage)
	latest.AtMillis = m.latestMillis
	m.latestPushes[push.GetIncarnation()] = latest
}

// addPendingRow adds usage to the window in progress.
func (m *StateMachine) addPendingRow(row *state.UsageRow) {
	if row.GetCalls() == 0 && row.GetTokensIn() == 0 && row.GetTokensOut() == 0 {
		return
	}
	sum := &state.UsageRow{Organisation: row.GetOrganisation(), Class: row.GetClass(), Late: row.GetLate()}
	previous := m.pendingRows[usageRowKeyOf(row)]
	sum.Calls = previous.GetCalls() + row.GetCalls()
	sum.TokensIn = previous.GetTokensIn() + row.GetTokensIn()
	sum.TokensOut = previous.GetTokensOut() + row.GetTokensOut()
	m.pendingRows[usageRowKeyOf(row)] = sum
}

func usageRowKeyOf(row *state.UsageRow) usageRowKey {
	return usageRowKey{organisation: row.GetOrganisation(), class: row.GetClass(), late: row.GetLate()}
}

// applyFreezeWindow ends the window in progress and fixes the bytes of its report,
// so that every attempt to send it carries the same bytes.
func (m *StateMachine) applyFreezeWindow(f *state.FreezeWindow) *wire.ProposeReply {
	if f.GetNumber() != 0 {
		return m.freezeAlignedWindow(f)
	}
	if m.windowStartMillis == 0 || f.GetEndMillis() <= m.windowStartMillis {
		return refused(ReasonInvalid, "the window has not begun or was frozen before")
	}
	report := ReportBody{
		Window:      m.windowNumber + 1,
		StartMillis: m.windowStartMillis,
		EndMillis:   f.GetEndMillis(),
		Rows:        make([]ReportRow, 0, len(m.pendingRows)),
	}
	for _, row := range m.pendingRows {
		report.Rows = append(report.Rows, ReportRow{
			Organisation: row.GetOrganisation(),
			Class:        row.GetClass(),
			Late:         row.GetLate(),
			Calls:        row.GetCalls(),
			TokensIn:     row.GetTokensIn(),
			TokensOut:    row.GetTokensOut(),
		})
	}
	sort.Slice(report.Rows, func(i, j int) bool { return report.Rows[i].less(report.Rows[j]) })
	data, err := json.Marshal(report)
	if err != nil {
		return refused(ReasonInvalid, err.Error())
	}
	m.windowNumber++
	m.windows = append(m.windows, &state.Window{
		Number:      m.windowNumber,
		StartMillis: m.windowStartMillis,
		EndMillis:   f.GetEndMillis(),
		Report:      data,
	})
	m.windowStartMillis = f.GetEndMillis()
	m.pendingRows = map[usageRowKey]*state.UsageRow{}
	return accepted()
}

// freezeAlignedWindow stores the report of a window that is aligned to agreed
// time. The first report of a window is final, and window numbers only grow.
func (m *StateMachine) freezeAlignedWindow(f *state.FreezeWindow) *wire.ProposeReply {
	if f.GetNumber() <= m.alignedWindow {
		return refused(ReasonInvalid, "the window was frozen before")
	}
	m.alignedWindow = f.GetNumber()
	m.expectedHosts = int(f.GetEntryHosts())
	m.windows = append(m.windows, &state.Window{Number: f.GetNumber(), EndMillis: f.GetEndMillis(), Report: f.GetReport()})
	return accepted()
}

// EncodeAlignedReport returns the report of a window that is aligned to agreed time, which has the
// number of calls of each organisation only.
func EncodeAlignedReport(number uint64, length time.Duration, calls map[string]uint64) ([]byte, error) {
	end := reporter.EndOf(reporter.Window(number), length)
	report := ReportBody{
		Window: number, StartMillis: end.Add(-length).UnixMilli(), EndMillis: end.UnixMilli(), Rows: make([]ReportRow, 0, len(calls)),
	}
	for _, organisation := range slices.Sorted(maps.Keys(calls)) {
		report.Rows = append(report.Rows, ReportRow{Organisation: organisation, Calls: calls[organisation]})
	}
	data, err := json.Marshal(report)
	return data, errors.Wrap(err, "encoding a usage report")
}

// AlignedWindow returns the highest number of a frozen window that is aligned to
// agreed time, and the number of entry hosts that are expected to report the next
// one.
func (m *StateMachine) AlignedWindow() (number uint64, hosts int) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.alignedWindow, m.expectedHosts
}

// less orders rows by organisation and class, with late rows last.
func (r ReportRow) less(other ReportRow) bool {
	if r.Organisation != other.Organisation {
		return r.Organisation < other.Organisation
	}
	if r.Class != other.Class {
		return r.Class < other.Class
	}
	return !r.Late && other.Late
}

// applyWindowSent marks a window as accepted by the platform. If more than
// maxKeptWindows are kept, it drops the oldest one, provided that the platform has
// accepted that one.
func (m *StateMachine) applyWindowSent(sent *state.WindowSent) *wire.ProposeReply {
	for i, w := range m.windows {
		if w.GetNumber() == sent.GetNumber() {
			updated := proto.Clone(w).(*state.Window)
			updated.Sent = true
			m.windows[i] = updated
		}
	}
	if len(m.windows) > maxKeptWindows && m.windows[0].GetSent() {
		m.windows = append([]*state.Window(nil), m.windows[1:]...)
	}
	return accepted()
}

// UnsentWindows returns the frozen windows that the platform has not accepted yet, oldest first.
func (m *StateMachine) UnsentWindows() []*state.Window {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []*state.Window
	for _, w := range m.windows {
		if !w.GetSent() {
			out = append(out, w)
		}
	}
	return out
}

// WindowStartMillis returns the start of the window in progress in Unix milliseconds, or zero before the first usage.
func (m *StateMachine) WindowStartMillis() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.windowStartMillis
}
