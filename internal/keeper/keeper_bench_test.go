package keeper

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/schema/state"
)

// newFilled returns a state machine with organisations of two keys each, and claims.
func newFilled(b *testing.B, organisations, claims int) *StateMachine {
	b.Helper()
	m := New()
	limits := &state.Limits{ClaimRetentionMillis: retention, ClaimsPerOrganisation: 1 << 30, AuditRecords: 1000}
	applyCommand := func(command *state.Command) {
		command.AtMillis = 1
		command.Limits = limits
		data, err := proto.Marshal(command)
		if err != nil {
			b.Fatal(err)
		}
		m.Apply(1, data)
	}
	configuration := &state.Configuration{}
	var keys []*state.Key
	for i := range organisations {
		id := fmt.Sprintf("organisation-%d", i)
		configuration.Organisations = append(configuration.Organisations, &state.Organisation{Id: id, Name: "Name of " + id})
		for j := range 2 {
			hash := configurer.HashKey(fmt.Sprint(i, j))
			keys = append(keys, &state.Key{Id: fmt.Sprintf("key-%d-%d", i, j), Organisation: id, Hash: hash[:]})
		}
	}
	m.catalog = configurer.Restore(1, configuration, keys)
	for i := range claims {
		applyCommand(claim(fmt.Sprint("attempt-", i), fmt.Sprint("key-", i), "body"))
	}
	return m
}

// BenchmarkChange measures one change of the configuration, with 10 organisations
// and with 6,100, the number expected after two years.
func BenchmarkChange(b *testing.B) {
	for _, organisations := range []int{10, 6100} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			m := newFilled(b, organisations, 0)
			i := 0
			for b.Loop() {
				i++
				command := change(fmt.Sprint("c", i), uint64(m.Revision()), putOrganisation("changing"))
				command.Limits = &state.Limits{AuditRecords: 1000}
				data, err := proto.Marshal(command)
				if err != nil {
					b.Fatal(err)
				}
				if !m.Apply(1, data).GetOutcome().GetAccepted() {
					b.Fatal("change was refused")
				}
			}
		})
	}
}

// BenchmarkSnapshot measures the time to encode the whole state, the encoded size,
// and the heap size of the state.
func BenchmarkSnapshot(b *testing.B) {
	for _, claims := range []int{0, 100_000} {
		b.Run(fmt.Sprintf("organisations=6100/claims=%d", claims), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m := newFilled(b, 6100, claims)
			runtime.GC()
			runtime.ReadMemStats(&after)
			var data []byte
			for b.Loop() {
				var err error
				if data, err = m.Snapshot(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "snapshot-bytes")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
			runtime.KeepAlive(m)
		})
	}
}
