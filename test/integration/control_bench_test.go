package integration

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// bytesTransferred returns the bytes that a process has read and written by system calls.
func (p *process) bytesTransferred() float64 {
	data, err := os.ReadFile(filepath.Join("/proc", p.pid(), "io"))
	if err != nil {
		p.t.Fatal(err)
	}
	var total float64
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "rchar" || name == "wchar" {
			n, _ := strconv.ParseFloat(value, 64)
			total += n
		}
	}
	return total
}

func quietLog(s *settings.Settings) { s.Logging.Level = "error" }

// BenchmarkControl measures the control processes: claims and changes per second, the
// time until a change is in force, the restart after many changes, and idle costs.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ voters, entries int }{{3, 1}, {5, 1}, {3, 7}} {
		b.Run(fmt.Sprintf("voters=%d/entries=%d", size.voters, size.entries), func(b *testing.B) {
			for b.Loop() {
				measureControl(b, size.voters, size.entries)
			}
		})
	}
}

func measureControl(b *testing.B, voters, entries int) {
	domains := strings.Split(strings.Repeat("a", entries), "")
	s := startSystem(b, layout{controls: voters, entries: domains, adjustEntry: quietLog, adjustControl: quietLog})
	s.configure()
	e := s.entries[0]
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	s.awaitKey(s.grant("one").Key, e)
	b.ReportMetric(s.measurePropagation(b), "in-force-ms-p50")
	b.ReportMetric(s.measureClaims(b), "claims/s")
	b.ReportMetric(s.measureChanges(b), "changes/s")
	s.measureIdle(b)
	if entries == 1 {
		b.ReportMetric(s.measureRestart(b), "restart-ms")
	}
}

// measurePropagation returns the median time in milliseconds from the acceptance of a
// withdrawal to the first refusal of its key.
func (s *system) measurePropagation(b *testing.B) float64 {
	var took []float64
	for range 15 {
		key := s.grant("one")
		s.awaitKey(key.Key, s.entries...)
		if _, err := s.operator().Change(b.Context(), withdrawal(key.ID), -1, ""); err != nil {
			b.Fatal(err)
		}
		accepted := time.Now()
		for s.entries[0].get("/orders/x", key.Key).status != http.StatusUnauthorized {
			time.Sleep(time.Millisecond)
		}
		took = append(took, float64(time.Since(accepted).Milliseconds()))
	}
	sort.Float64s(took)
	return took[len(took)/2]
}

// measureClaims returns the claims that 64 concurrent clients commit per second.
func (s *system) measureClaims(b *testing.B) float64 {
	const (
		clients = 64
		length  = 3 * time.Second
	)
	client := messenger.NewClient(s.leader().peerAddress, messenger.Security{}, time.Second)
	defer client.Close()
	var (
		done atomic.Int64
		wait sync.WaitGroup
	)
	end := time.Now().Add(length)
	for c := range clients {
		wait.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				claim := &state.Claim{Organisation: "one", Route: "r", IdempotencyKey: fmt.Sprint(c, "-", i), Attempt: fmt.Sprint(i)}
				request := &wire.Request{Kind: &wire.Request_Propose{Propose: &state.Command{
					Kind: &state.Command_Claim{Claim: claim},
				}}}
				if _, err := client.Call(b.Context(), request); err == nil {
					done.Add(1)
				}
			}
		})
	}
	wait.Wait()
	return float64(done.Load()) / length.Seconds()
}

// measureChanges returns the configuration changes that one client gets accepted per second.
func (s *system) measureChanges(b *testing.B) float64 {
	reply, err := s.operator().Read(b.Context(), "configuration")
	if err != nil {
		b.Fatal(err)
	}
	const changes = 1000
	start := time.Now()
	for i := range changes {
		if _, err = s.operator(s.leader().id).Change(b.Context(), putOrganisation("x"), int64(reply.GetRevision())+int64(i), ""); err != nil {
			b.Fatal(err)
		}
	}
	return changes / time.Since(start).Seconds()
}

func (s *system) measureIdle(b *testing.B) {
	const length = 10 * time.Second
	leader := s.leader()
	follower := s.controls[0]
	if follower == leader {
		follower = s.controls[1]
	}
	processes := map[string]*process{"leader": leader.process, "follower": follower.process, "entry": s.entries[0].process}
	cpu, transferred := map[string]float64{}, map[string]float64{}
	for name, p := range processes {
		cpu[name] = p.cpuSeconds()
		transferred[name] = p.bytesTransferred()
	}
	time.Sleep(length)
	for name, p := range processes {
		b.ReportMetric((p.cpuSeconds()-cpu[name])/length.Seconds()*100, name+"-idle-cpu-%")
		b.ReportMetric((p.bytesTransferred()-transferred[name])/length.Seconds()/1024, name+"-idle-KiB/s")
		b.ReportMetric(p.residentBytes()/(1<<20), name+"-MiB")
	}
}

// measureRestart makes changes up to revision 10,000, kills every control process and
// returns the milliseconds until a read succeeds again.
func (s *system) measureRestart(b *testing.B) float64 {
	const total = 10_000
	reply, err := s.operator().Read(b.Context(), "configuration")
	if err != nil {
		b.Fatal(err)
	}
	leader := s.operator(s.leader().id)
	for revision := int64(reply.GetRevision()); revision < total; revision++ {
		if _, err = leader.Change(b.Context(), putOrganisation("y"), revision, ""); err != nil {
			b.Fatal(err)
		}
	}
	for _, c := range s.controls {
		c.kill()
	}
	start := time.Now()
	for _, c := range s.controls {
		c.start()
	}
	eventually(b, waitTimeout, func() error {
		reply, err = s.operator().Read(b.Context(), "configuration")
		if err == nil && reply.GetRevision() != total {
			b.Fatalf("revision %d after the restart", reply.GetRevision())
		}
		return err
	})
	return float64(time.Since(start).Milliseconds())
}
