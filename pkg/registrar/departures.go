package registrar

type (
	// Departures remembers which runs of upstreams have left for good. It is bounded: the
	// oldest ones are forgotten. It is not safe for concurrent use.
	Departures struct {
		limit int
		// latest holds the greatest incarnation of each upstream that has left.
		latest map[UpstreamID]Incarnation
		// order holds the departures, oldest first.
		order []Departure
	}

	// Departure is one run of an upstream that has left. Earlier runs have left too.
	Departure struct {
		ID          UpstreamID
		Incarnation Incarnation
	}
)

// NewDepartures returns an empty set of at most limit departures.
func NewDepartures(limit int) *Departures {
	return &Departures{limit: limit, latest: map[UpstreamID]Incarnation{}}
}

// Add records a departure and reports whether it is new. Incarnation zero, of upstreams that
// do not number their runs, is not recorded, since a later run could not be told from it.
func (d *Departures) Add(added Departure) bool {
	if added.Incarnation == 0 || d.latest[added.ID] >= added.Incarnation {
		return false
	}
	d.latest[added.ID] = added.Incarnation
	d.order = append(d.order, added)
	if len(d.order) > d.limit {
		oldest := d.order[0]
		d.order = append([]Departure(nil), d.order[1:]...)
		if d.latest[oldest.ID] == oldest.Incarnation {
			delete(d.latest, oldest.ID)
		}
	}
	return true
}

// Has reports whether a run of an upstream has left.
func (d *Departures) Has(id UpstreamID, incarnation Incarnation) bool {
	return incarnation != 0 && d.latest[id] >= incarnation
}

// All returns the departures, oldest first. The caller must not modify them.
func (d *Departures) All() []Departure { return d.order }
