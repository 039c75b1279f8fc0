package router

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/validator"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// newTestRouter returns an entry process with a freshness of 5 s that is not running.
func newTestRouter(t *testing.T) *Router {
	t.Helper()
	s := &settings.Settings{
		Host:  &settings.Host{Id: "e", FailureDomain: "a"},
		Entry: &settings.Entry{Freshness: durationpb.New(5 * time.Second)},
	}
	validator.FillDefaults(s)
	r, err := New(s, translator.NativeDialect(), zap.NewNop(), instrumenter.New("entry"))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestRejectsEarlierRevision checks that an earlier revision and changes that
// skip a revision are rejected, and that the configuration in use stays.
func TestRejectsEarlierRevision(t *testing.T) {
	p := newTestRouter(t).controlPlane
	whole := func(revision uint64) *wire.SyncReply {
		return &wire.SyncReply{Revision: revision, Whole: true, Configuration: &state.Configuration{}}
	}
	if err := p.applyConfiguration(whole(7), delivery{}); err != nil {
		t.Fatal(err)
	}
	var earlier *earlierRevisionError
	if err := p.applyConfiguration(whole(6), delivery{}); !errors.As(err, &earlier) || p.revision() != 7 {
		t.Errorf("earlier revision: error %v, revision %d; want an earlierRevisionError and revision 7", err, p.revision())
	}
	gap := &wire.SyncReply{Revision: 9, Changes: []*state.Revised{{Revision: 9, Operation: &state.Operation{
		Kind: &state.Operation_PutOrganisation{PutOrganisation: &state.Organisation{Id: "o"}},
	}}}}
	if err := p.applyConfiguration(gap, delivery{}); err == nil || p.revision() != 7 {
		t.Errorf("changes with a gap were applied: revision %d, want 7", p.revision())
	}
}

// TestStartsFromChanges checks that a process without a configuration accepts
// the changes since revision 0 instead of a whole configuration.
func TestStartsFromChanges(t *testing.T) {
	p := newTestRouter(t).controlPlane
	reply := &wire.SyncReply{Revision: 2}
	for revision, id := range []string{"one", "two"} {
		reply.Changes = append(reply.Changes, &state.Revised{
			Revision: uint64(revision + 1),
			Operation: &state.Operation{Kind: &state.Operation_PutOrganisation{
				PutOrganisation: &state.Organisation{Id: id},
			}},
		})
	}
	if err := p.applyConfiguration(reply, delivery{}); err != nil || p.revision() != 2 {
		t.Errorf("error %v, revision %d; want no error and revision 2", err, p.revision())
	}
}

// TestReadyBeforeFirstChange guards against processes that never become ready in a system
// whose operator has not changed anything yet.
func TestReadyBeforeFirstChange(t *testing.T) {
	r := newRouterOf(t, &partServer{})
	reply := syncResult{client: r.controlClients.Preferred(), reply: &wire.SyncReply{}}
	if err := r.controlPlane.applyReply(r.controlPlane.now(), 0, reply); err != nil {
		t.Fatal(err)
	}
	if reason := r.notReadyReason(); reason != "" || !r.controlPlane.fresh() {
		t.Errorf("not ready: %q, fresh: %t", reason, r.controlPlane.fresh())
	}
}

// TestFreshnessExpires checks that keys are accepted only while the
// configuration is fresh, and that calls without a key do not depend on it.
func TestFreshnessExpires(t *testing.T) {
	p := newTestRouter(t).controlPlane
	now := time.Hour
	p.now = func() time.Duration { return now }
	hash := configurer.HashKey("secret")
	err := p.applyConfiguration(&wire.SyncReply{
		Revision: 1, Whole: true, Configuration: &state.Configuration{},
		Keys: []*state.Key{{Id: "k", Organisation: "one", Hash: hash[:]}},
	}, delivery{})
	if err != nil {
		t.Fatal(err)
	}
	p.freshUntil.Store(int64(now + 5*time.Second))
	tests := map[string]struct {
		key    string
		after  time.Duration
		status int
	}{
		"fresh":              {key: "secret", after: 5*time.Second - 1},
		"not fresh any more": {key: "secret", after: 5 * time.Second, status: http.StatusServiceUnavailable},
		"unknown":            {key: "other", status: http.StatusUnauthorized},
		"without a key":      {after: time.Hour},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now = time.Hour + test.after
			_, refusal := p.identify(test.key, nil)
			if (refusal != nil) != (test.status != 0) {
				t.Fatalf("refusal %v, want status %d (0: no refusal)", refusal, test.status)
			}
			if refusal != nil && (refusal.Status != test.status || refusal.Run != translator.NotRun) {
				t.Errorf("refusal %v with status %d, want status %d and run %q", refusal, refusal.Status, test.status, translator.NotRun)
			}
		})
	}
}

// TestUnknownWithoutConfirmation guards against refusals of requests that are proper: a
// key or a route that is not in the configuration may be in a newer one as long as no
// quorum has confirmed the configuration lately. The request must be told to come back,
// and that it has not run.
func TestUnknownWithoutConfirmation(t *testing.T) {
	tests := map[string]struct {
		confirmed bool
		path, key string
		status    int
	}{
		"unknown key, confirmed":         {confirmed: true, path: "/known/", key: "other", status: http.StatusUnauthorized},
		"unknown key, unconfirmed":       {path: "/known/", key: "other", status: http.StatusServiceUnavailable},
		"unknown route, confirmed":       {confirmed: true, path: "/new/", key: "secret", status: http.StatusNotFound},
		"unknown route, unconfirmed":     {path: "/new/", key: "secret", status: http.StatusServiceUnavailable},
		"unknown route without a key":    {path: "/new/", status: http.StatusServiceUnavailable},
		"known route without its key":    {path: "/known/", status: http.StatusUnauthorized},
		"known key and route":            {path: "/known/", key: "secret"},
		"known, confirmed":               {confirmed: true, path: "/known/", key: "secret"},
		"unknown route, no key, certain": {confirmed: true, path: "/new/", status: http.StatusUnauthorized},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t)
			r.settings.Entry.ServeStale = true
			hash := configurer.HashKey("secret")
			err := r.controlPlane.applyConfiguration(&wire.SyncReply{
				Revision: 1, Whole: true,
				Configuration: &state.Configuration{
					Classes: []*state.Class{{Name: "c", Tier: 1}},
					Routes:  []*state.Route{{Name: "r", PathPrefix: "/known/", Kind: configurer.KindService, Service: "s", Classes: []string{"c"}}},
				},
				Keys: []*state.Key{{Id: "k", Organisation: "one", Hash: hash[:]}},
			}, delivery{})
			if err != nil {
				t.Fatal(err)
			}
			if test.confirmed {
				r.controlPlane.freshUntil.Store(int64(r.controlPlane.now() + time.Minute))
			}
			refusal := r.resolve(&call{path: test.path, requestURI: test.path, header: http.Header{}, RequestInfo: translator.RequestInfo{Key: test.key}})
			switch {
			case (refusal != nil) != (test.status != 0):
				t.Fatalf("refusal %v, want status %d (0: no refusal)", refusal, test.status)
			case refusal == nil:
			case refusal.Status != test.status || refusal.Run != translator.NotRun:
				t.Errorf("refusal %v with status %d, want %d", refusal, refusal.Status, test.status)
			case refusal.Status == http.StatusServiceUnavailable && refusal.RetryAfter <= 0:
				t.Error("the refusal does not say when to come back")
			}
		})
	}
}
