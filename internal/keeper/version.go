package keeper

import (
	"github.com/comfreybend/comfreybend/pkg/matcher"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// ReasonTooManyVersions means that a pool has too many versions at a time.
	ReasonTooManyVersions = "tooManyVersions"

	// maxVersions is the number of versions that a pool may have at a time.
	maxVersions = 64
)

// applyPoolVersion records that a version serves a pool, or does not any more. Repeating it has
// no effect.
func (m *StateMachine) applyPoolVersion(v *state.PoolVersion) *wire.ProposeReply {
	o := originOf(v)
	if v.GetRetired() {
		m.versions.Remove(o)
		return accepted()
	}
	if !m.versions.Add(o) {
		return refused(ReasonTooManyVersions, "pool "+v.GetPool()+" has upstreams of too many versions")
	}
	return accepted()
}

// HasVersion reports whether it is committed that a version serves a pool.
func (m *StateMachine) HasVersion(o matcher.Origin) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.versions.Has(o)
}

// Versions returns the versions that serve the pools.
func (m *StateMachine) Versions() []matcher.Origin {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.versions.All()
}

func originOf(v *state.PoolVersion) matcher.Origin {
	return matcher.Origin{Pool: matcher.Pool(v.GetPool()), Version: registrar.Version(v.GetVersion())}
}

// versionsToState returns the versions for a snapshot.
func versionsToState(h *matcher.History) []*state.PoolVersion {
	var out []*state.PoolVersion
	for _, o := range h.All() {
		out = append(out, &state.PoolVersion{Pool: string(o.Pool), Version: string(o.Version)})
	}
	return out
}
