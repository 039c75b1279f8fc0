package keeper

import (
	"slices"

	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// maxDepartures is the number of departures that are kept. It covers those of several
// leases' time when a large pool is replaced.
const maxDepartures = 4096

// applyDeparture records that a run of an upstream leaves. Repeating it has no effect.
func (m *StateMachine) applyDeparture(d *state.Departure) *wire.ProposeReply {
	m.departures.Add(departureOf(d))
	return accepted()
}

// HasDeparted reports whether the departure of a run of an upstream is committed.
func (m *StateMachine) HasDeparted(id registrar.UpstreamID, incarnation registrar.Incarnation) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.departures.Has(id, incarnation)
}

// DeparturesSince returns the departures committed after a position; see
// registrar.Departures.Since.
func (m *StateMachine) DeparturesSince(after registrar.Position, limit int) ([]registrar.Departure, registrar.Position) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	departures, position := m.departures.Since(after, limit)
	return slices.Clone(departures), position
}

func departureOf(d *state.Departure) registrar.Departure {
	return registrar.Departure{ID: registrar.UpstreamID(d.GetUpstream()), Incarnation: registrar.Incarnation(d.GetIncarnation())}
}

// departuresToState returns the departures for a snapshot.
func departuresToState(d *registrar.Departures) []*state.Departure {
	out := make([]*state.Departure, 0, len(d.All()))
	for _, departure := range d.All() {
		out = append(out, &state.Departure{Upstream: string(departure.ID), Incarnation: uint64(departure.Incarnation)})
	}
	return out
}
