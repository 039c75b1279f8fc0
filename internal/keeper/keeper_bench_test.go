package keeper

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/schema/state"
)

// fill returns a state with organisations that hold two keys each, and claims.
func fill(b *testing.B, organisations, claims int) *StateMachine {
	b.Helper()
	k := New()
	limits := &state.Limits{ClaimRetentionMillis: retention, ClaimsPerOrganisation: 1 << 30, AuditRecords: 1000}
	run := func(command *state.Command) {
		command.AtMillis = 1
		command.Limits = limits
		data, err := proto.Marshal(command)
		if err != nil {
			b.Fatal(err)
		}
		k.Apply(data)
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
	k.catalog = configurer.Restore(1, configuration, keys)
	for i := range claims {
		run(claim(fmt.Sprint("attempt-", i), fmt.Sprint("key-", i), "body"))
	}
	return k
}

// BenchmarkChange measures one change of the configuration at the two-year number of organisations.
func BenchmarkChange(b *testing.B) {
	for _, organisations := range []int{10, 6100} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			k := fill(b, organisations, 0)
			i := 0
			for b.Loop() {
				i++
				command := change(fmt.Sprint("c", i), uint64(k.Revision()), putOrganisation("changing"))
				command.Limits = &state.Limits{AuditRecords: 1000}
				data, err := proto.Marshal(command)
				if err != nil {
					b.Fatal(err)
				}
				if !k.Apply(data).GetOutcome().GetAccepted() {
					b.Fatal("refused")
				}
			}
		})
	}
}

// BenchmarkSnapshot measures encoding the whole state, its size, and the memory that it takes.
func BenchmarkSnapshot(b *testing.B) {
	for _, claims := range []int{0, 100_000} {
		b.Run(fmt.Sprintf("organisations=6100/claims=%d", claims), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			k := fill(b, 6100, claims)
			runtime.GC()
			runtime.ReadMemStats(&after)
			var data []byte
			for b.Loop() {
				var err error
				if data, err = k.Snapshot(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "snapshot-bytes")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
			runtime.KeepAlive(k)
		})
	}
}
