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
	"github.com/comfreybend/comfreybend/internal/validator"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

func newTestRouter(t *testing.T) *Router {
	t.Helper()
	s := &settings.Settings{
		Host:  &settings.Host{Id: "e", FailureDomain: "a"},
		Entry: &settings.Entry{Freshness: durationpb.New(5 * time.Second)},
	}
	validator.FillDefaults(s)
	r, err := New(s, NativeDialect(), zap.NewNop(), instrumenter.New("entry"))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestAuthorityNeverGoesBack answers with an earlier revision: the process keeps what it holds.
func TestAuthorityNeverGoesBack(t *testing.T) {
	a := newTestRouter(t).authority
	whole := func(revision uint64) *wire.SyncReply {
		return &wire.SyncReply{Revision: revision, Whole: true, Configuration: &state.Configuration{}}
	}
	if err := a.applyConfiguration(whole(7)); err != nil {
		t.Fatal(err)
	}
	var back *staleRevisionError
	if err := a.applyConfiguration(whole(6)); !errors.As(err, &back) || a.revision() != 7 {
		t.Errorf("error %v, revision %d", err, a.revision())
	}
	gap := &wire.SyncReply{Revision: 9, Changes: []*state.Revised{{Revision: 9, Operation: &state.Operation{
		Kind: &state.Operation_PutOrganisation{PutOrganisation: &state.Organisation{Id: "o"}},
	}}}}
	if err := a.applyConfiguration(gap); err == nil || a.revision() != 7 {
		t.Errorf("changes with a gap were taken: revision %d", a.revision())
	}
}

// TestAuthorityStartsFromChanges starts without a configuration and gets the changes since revision 0.
func TestAuthorityStartsFromChanges(t *testing.T) {
	a := newTestRouter(t).authority
	reply := &wire.SyncReply{Revision: 2}
	for revision, id := range []string{"one", "two"} {
		reply.Changes = append(reply.Changes, &state.Revised{
			Revision: uint64(revision + 1),
			Operation: &state.Operation{Kind: &state.Operation_PutOrganisation{
				PutOrganisation: &state.Organisation{Id: id},
			}},
		})
	}
	if err := a.applyConfiguration(reply); err != nil || a.revision() != 2 {
		t.Errorf("error %v, revision %d", err, a.revision())
	}
}

// TestFreshnessEnds lets time pass: a key is served only while the configuration is fresh.
func TestFreshnessEnds(t *testing.T) {
	a := newTestRouter(t).authority
	now := time.Hour
	a.now = func() time.Duration { return now }
	hash := configurer.HashKey("secret")
	err := a.applyConfiguration(&wire.SyncReply{
		Revision: 1, Whole: true, Configuration: &state.Configuration{},
		Keys: []*state.Key{{Id: "k", Organisation: "one", Hash: hash[:]}},
	})
	if err != nil {
		t.Fatal(err)
	}
	a.freshUntil.Store(int64(now + 5*time.Second))
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
			_, refusal := a.identify(test.key)
			if (refusal != nil) != (test.status != 0) {
				t.Fatalf("refusal: %v", refusal)
			}
			if refusal != nil && (refusal.Status != test.status || refusal.Run != NotRun) {
				t.Errorf("refusal: %v with status %d", refusal, refusal.Status)
			}
		})
	}
}
