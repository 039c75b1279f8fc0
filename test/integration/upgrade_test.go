package integration

import (
	"context"
	_ "embed"
	"fmt"
	"math/rand"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	upgradeClients = 6
	upgradeTokens  = 20
)

// landedCommit names the commit of the latest build that is in use. Each landing moves it on.
//
//go:embed testdata/landed-commit.txt
var landedCommit string

// upgrade is a system whose processes are replaced by those of another build, one after the other,
// while clients send requests and an operator makes changes.
type upgrade struct {
	*system
	key    string
	orders []*upstreamProcess
	// programs holds, by host, the program of an entry process, nil while clients do not send requests
	// to it.
	programs map[string]*atomic.Pointer[string]

	mu        sync.Mutex
	completed map[string]bool
	changes   []string
	requests  int
}

// buildLanded builds the landed commit from the history of the repository. The test fails
// if that does not hold the commit.
func buildLanded(t *testing.T) string {
	t.Helper()
	commit, folder := strings.TrimSpace(landedCommit), t.TempDir()
	archive := filepath.Join(folder, "landed.tar")
	if out, err := exec.Command("git", "-C", "../..", "archive", "--output", archive, commit).CombinedOutput(); err != nil {
		t.Fatalf("the history does not hold commit %s, which is needed to test mixed versions: %v: %s", commit, err, out)
	}
	sources := filepath.Join(folder, "sources")
	for _, command := range []*exec.Cmd{exec.Command("mkdir", sources), exec.Command("tar", "-xf", archive, "-C", sources)} {
		if out, err := command.CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
	}
	program := filepath.Join(folder, "comfreybend")
	if err := build(sources, program); err != nil {
		t.Fatal(err)
	}
	return program
}

// TestReplaceBuild guards against requests that fail, orders that run twice and changes that are lost
// while processes of the landed build and of this one run side by side and read each other's data:
// when all are replaced by this build, and when they go back.
func TestReplaceBuild(t *testing.T) {
	landed := buildLanded(t)
	tests := map[string]struct{ from, to string }{
		"to this build":            {from: landed, to: binary},
		"back to the landed build": {from: binary, to: landed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			u := newUpgrade(t, test.from)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var running sync.WaitGroup
			for client := range upgradeClients {
				running.Go(func() { u.runClient(ctx, client) })
			}
			running.Go(func() { u.runOperator(ctx) })
			for _, c := range u.controls {
				u.replaceControl(c, test.to)
			}
			for _, e := range u.entries {
				u.replaceEntry(e, test.to)
			}
			cancel()
			running.Wait()
			u.check()
			// What is durable must be readable without the help of a process that runs.
			for _, c := range u.controls {
				c.kill()
			}
			for _, c := range u.controls {
				c.start()
			}
			u.leader()
			u.check()
			t.Logf("%d requests, %d changes", u.requests, len(u.changes))
		})
	}
}

func newUpgrade(t *testing.T, program string) *upgrade {
	u := &upgrade{
		system:   startSystem(t, layout{controls: 3, entries: []string{"a", "a"}, program: program}),
		programs: map[string]*atomic.Pointer[string]{}, completed: map[string]bool{},
	}
	u.configure()
	for i := range 2 {
		u.startUpstream(fmt.Sprint("engine-", i+1), "a", "model", "m", u.entries, "--token-interval", "10ms", "--slots", "64")
		u.orders = append(u.orders, u.startUpstream(fmt.Sprint("orders-", i+1), "a", "service", "orders", u.entries))
	}
	u.key = u.grant("one").Key
	u.awaitKey(u.key, u.entries...)
	for _, e := range u.entries {
		u.awaitCompletion(e, u.key)
		u.programs[e.id] = &atomic.Pointer[string]{}
		u.programs[e.id].Store(&program)
	}
	return u
}

// runClient sends requests, which must all succeed, to the entry processes that take some.
func (u *upgrade) runClient(ctx context.Context, client int) {
	random := rand.New(rand.NewSource(int64(client)))
	for n := 0; ctx.Err() == nil; n++ {
		e := u.entries[random.Intn(len(u.entries))]
		program := u.programs[e.id].Load()
		if program == nil {
			continue
		}
		var a clientResponse
		reference := fmt.Sprintf("upgrade-%d-%d", client, n)
		switch random.Intn(3) {
		case 0:
			a = e.placeOrder(u.key, reference)
		case 1:
			a = u.placeKeyedOrder(ctx, e, reference, *program == binary)
		default:
			a = e.complete(u.key, upgradeTokens)
			if tokens := strings.Count(a.body, `"delta"`); tokens != upgradeTokens || !strings.Contains(a.body, "data: [DONE]") {
				u.t.Errorf("%s: a stream has %d of %d tokens", e.id, tokens, upgradeTokens)
			}
			reference = ""
		}
		u.mu.Lock()
		u.requests++
		if reference != "" && a.status == http.StatusOK {
			u.completed[reference] = true
		}
		u.mu.Unlock()
		if a.err != nil || a.status != http.StatusOK {
			u.t.Errorf("%s: status %d, error %v, body %.300s", e.id, a.status, a.err, a.body)
		}
	}
}

// placeKeyedOrder places an order with an idempotency key. Unless it must succeed at once, the client
// comes back when it is told to: the landed build refuses keys until there is a new leader.
func (u *upgrade) placeKeyedOrder(ctx context.Context, e *entryProcess, reference string, atOnce bool) clientResponse {
	for {
		a := e.placeOrder(u.key, reference, "Idempotency-Key", reference)
		if a.status != http.StatusServiceUnavailable || a.run() != translator.NotRun || atOnce {
			return a
		}
		timer.Sleep(context.WithoutCancel(ctx), pollInterval)
	}
}

// runOperator grants keys and records those that were acknowledged.
func (u *upgrade) runOperator(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprint("upgrade-", n)
		changing, cancel := context.WithTimeout(ctx, soakRequestTimeout)
		if _, err := u.operator().GrantKey(changing, "two", -1, id); err == nil {
			u.mu.Lock()
			u.changes = append(u.changes, id)
			u.mu.Unlock()
		}
		cancel()
	}
}

// replaceControl replaces a control process, and waits until it has the changes that were
// acknowledged before.
func (u *upgrade) replaceControl(c *controlProcess, program string) {
	u.t.Helper()
	c.terminate()
	c.program = program
	c.start()
	eventually(u.t, waitTimeout, func() error { return u.missingChange(c.id) })
}

// replaceEntry takes an entry process out of the rotation, replaces it, and waits until it serves.
func (u *upgrade) replaceEntry(e *entryProcess, program string) {
	u.t.Helper()
	u.programs[e.id].Store(nil)
	e.terminate()
	e.program = program
	e.start()
	eventually(u.t, waitTimeout, e.ready)
	u.awaitKey(u.key, e)
	u.awaitCompletion(e, u.key)
	u.programs[e.id].Store(&program)
	before := u.requestCount()
	eventually(u.t, waitTimeout, func() error {
		if u.requestCount() < before+10*upgradeClients {
			return fmt.Errorf("%d requests since the replacement of %s", u.requestCount()-before, e.id)
		}
		return nil
	})
}

func (u *upgrade) requestCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests
}

// missingChange returns an error unless control processes know all changes acknowledged so far.
func (u *upgrade) missingChange(ids ...string) error {
	u.mu.Lock()
	changes := append([]string(nil), u.changes...)
	u.mu.Unlock()
	ctx, cancel := context.WithTimeout(u.t.Context(), 5*time.Second)
	defer cancel()
	reply, err := u.operator(ids...).Read(ctx, "audit")
	if err != nil {
		return err
	}
	accepted := map[string]bool{}
	for _, record := range reply.GetAudit() {
		accepted[record.GetChangeId()] = record.GetOutcome().GetAccepted()
	}
	for _, id := range changes {
		if !accepted[id] {
			return fmt.Errorf("acknowledged change %s is missing from the audit trail", id)
		}
	}
	return nil
}

// check fails the test if an order has run more or less than once, or a change is missing.
func (u *upgrade) check() {
	u.t.Helper()
	op := &state.Operation{Kind: &state.Operation_PutOrganisation{PutOrganisation: &state.Organisation{Id: "three", Name: "three"}}}
	if _, err := u.operator().Change(u.t.Context(), op, -1, ""); err != nil {
		u.t.Error(err)
	}
	if err := u.missingChange(); err != nil {
		u.t.Error(err)
	}
	ran := map[string]int{}
	for _, o := range u.orders {
		for reference, runs := range o.stats(u.t).Orders {
			ran[reference] += runs
		}
	}
	for reference := range u.completed {
		if ran[reference] != 1 {
			u.t.Errorf("order %s ran %d times", reference, ran[reference])
		}
	}
}
