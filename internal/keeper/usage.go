package keeper

import (
	"encoding/json"
	"sort"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

type (
	rowKey struct {
		organisation string
		class        string
		late         bool
	}

	// Report is the JSON document that is sent to the platform for one window.
	Report struct {
		Window      uint64      `json:"window"`
		StartMillis int64       `json:"startMillis"`
		EndMillis   int64       `json:"endMillis"`
		Rows        []ReportRow `json:"rows"`
	}

	// ReportRow is the usage of one organisation in one class.
	ReportRow struct {
		Organisation string `json:"organisation"`
		Class        string `json:"class"`
		// Late marks a row that contains work from before the window.
		Late      bool   `json:"late"`
		Calls     uint64 `json:"calls"`
		TokensIn  uint64 `json:"tokensIn"`
		TokensOut uint64 `json:"tokensOut"`
	}
)

// applyUsage adds what the counters grew by since the last push of each incarnation.
func (k *StateMachine) applyUsage(batch *state.UsageBatch, limits *state.Limits) *wire.ProposeReply {
	if k.windowStart == 0 {
		k.windowStart = k.clock
	}
	for _, push := range batch.GetPushes() {
		k.applyPush(push, limits.GetSettleMillis())
	}
	for id, u := range k.usage {
		keep := int64(incarnationMillis)
		if u.GetFinal() {
			keep = finalMillis
		}
		if u.GetAtMillis()+keep < k.clock {
			delete(k.usage, id)
		}
	}
	return accepted()
}

func (k *StateMachine) applyPush(push *state.Usage, settle int64) {
	counted := map[rowKey]*state.UsageCounter{}
	for _, c := range k.usage[push.GetIncarnation()].GetCounters() {
		counted[rowKey{organisation: c.GetOrganisation(), class: c.GetClass()}] = c
	}
	late := k.clock-push.GetUnreportedMillis() < k.windowStart-settle
	for _, c := range push.GetCounters() {
		before := counted[rowKey{organisation: c.GetOrganisation(), class: c.GetClass()}]
		if c.GetCalls() < before.GetCalls() || c.GetTokensOut() < before.GetTokensOut() ||
			c.GetTokensIn() < before.GetTokensIn() {
			// An older push that was delayed; the newer counters stand.
			return
		}
	}
	for _, c := range push.GetCounters() {
		before := counted[rowKey{organisation: c.GetOrganisation(), class: c.GetClass()}]
		k.addPending(&state.UsageRow{
			Organisation: c.GetOrganisation(),
			Class:        c.GetClass(),
			Late:         late,
			Calls:        c.GetCalls() - before.GetCalls(),
			TokensIn:     c.GetTokensIn() - before.GetTokensIn(),
			TokensOut:    c.GetTokensOut() - before.GetTokensOut(),
		})
	}
	kept := proto.Clone(push).(*state.Usage)
	kept.AtMillis = k.clock
	k.usage[push.GetIncarnation()] = kept
}

func (k *StateMachine) addPending(row *state.UsageRow) {
	if row.GetCalls() == 0 && row.GetTokensIn() == 0 && row.GetTokensOut() == 0 {
		return
	}
	sum := &state.UsageRow{Organisation: row.GetOrganisation(), Class: row.GetClass(), Late: row.GetLate()}
	before := k.pending[keyOfRow(row)]
	sum.Calls = before.GetCalls() + row.GetCalls()
	sum.TokensIn = before.GetTokensIn() + row.GetTokensIn()
	sum.TokensOut = before.GetTokensOut() + row.GetTokensOut()
	k.pending[keyOfRow(row)] = sum
}

func keyOfRow(row *state.UsageRow) rowKey {
	return rowKey{organisation: row.GetOrganisation(), class: row.GetClass(), late: row.GetLate()}
}

// applyFreeze fixes the bytes of the window in progress.
func (k *StateMachine) applyFreeze(f *state.FreezeWindow) *wire.ProposeReply {
	if f.GetNumber() != 0 {
		return k.applyAlignedFreeze(f)
	}
	if k.windowStart == 0 || f.GetEndMillis() <= k.windowStart {
		return refused(ReasonInvalid, "the window has not begun or was frozen before")
	}
	report := Report{
		Window:      k.number + 1,
		StartMillis: k.windowStart,
		EndMillis:   f.GetEndMillis(),
		Rows:        make([]ReportRow, 0, len(k.pending)),
	}
	for _, row := range k.pending {
		report.Rows = append(report.Rows, ReportRow{
			Organisation: row.GetOrganisation(),
			Class:        row.GetClass(),
			Late:         row.GetLate(),
			Calls:        row.GetCalls(),
			TokensIn:     row.GetTokensIn(),
			TokensOut:    row.GetTokensOut(),
		})
	}
	sort.Slice(report.Rows, func(i, j int) bool { return report.Rows[i].before(report.Rows[j]) })
	data, err := json.Marshal(report)
	if err != nil {
		return refused(ReasonInvalid, err.Error())
	}
	k.number++
	k.windows = append(k.windows, &state.Window{
		Number:      k.number,
		StartMillis: k.windowStart,
		EndMillis:   f.GetEndMillis(),
		Report:      data,
	})
	k.windowStart = f.GetEndMillis()
	k.pending = map[rowKey]*state.UsageRow{}
	return accepted()
}

// applyAlignedFreeze keeps the bytes of a window that is aligned to true time.
// The first freeze of a number stands, and numbers only grow.
func (k *StateMachine) applyAlignedFreeze(f *state.FreezeWindow) *wire.ProposeReply {
	if f.GetNumber() <= k.aligned {
		return refused(ReasonInvalid, "the window was frozen before")
	}
	k.aligned = f.GetNumber()
	k.alignedHosts = int(f.GetEntryHosts())
	k.windows = append(k.windows, &state.Window{Number: f.GetNumber(), EndMillis: f.GetEndMillis(), Report: f.GetReport()})
	return accepted()
}

// AlignedWindow returns the highest number of a frozen window that is aligned
// to true time, and the number of hosts that are likely to tell of the next one.
func (k *StateMachine) AlignedWindow() (number uint64, hosts int) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.aligned, k.alignedHosts
}

func (r ReportRow) before(other ReportRow) bool {
	if r.Organisation != other.Organisation {
		return r.Organisation < other.Organisation
	}
	if r.Class != other.Class {
		return r.Class < other.Class
	}
	return !r.Late && other.Late
}

func (k *StateMachine) applySent(sent *state.WindowSent) *wire.ProposeReply {
	for i, w := range k.windows {
		if w.GetNumber() == sent.GetNumber() {
			updated := proto.Clone(w).(*state.Window)
			updated.Sent = true
			k.windows[i] = updated
		}
	}
	if len(k.windows) > sentWindows && k.windows[0].GetSent() {
		k.windows = append([]*state.Window(nil), k.windows[1:]...)
	}
	return accepted()
}

// UnsentWindows returns the frozen windows that the platform has not accepted yet, oldest first.
func (k *StateMachine) UnsentWindows() []*state.Window {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var out []*state.Window
	for _, w := range k.windows {
		if !w.GetSent() {
			out = append(out, w)
		}
	}
	return out
}

// WindowStart returns the start of the window in progress in Unix milliseconds, or zero before the first usage.
func (k *StateMachine) WindowStart() int64 {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.windowStart
}
