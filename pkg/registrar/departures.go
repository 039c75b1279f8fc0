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
		// position is the number of departures that were ever added.
		position Position
	}

	// Position is how many departures were added until a moment. Replicas that add the same
	// departures in the same order have the same positions.
	Position uint64

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
	d.position++
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

// Position returns the number of departures that were ever added.
func (d *Departures) Position() Position { return d.position }

// Restore sets the number of departures that were ever added, after those that are still
// remembered have been added again.
func (d *Departures) Restore(position Position) {
	d.position = max(position, Position(len(d.order)))
}

// Since returns the departures that were added after a position, oldest first, and the position
// reached. It returns the latest ones, up to a limit, after position zero or one that has not been
// reached, and all that are remembered if earlier ones are missing. The caller must not modify
// them.
func (d *Departures) Since(after Position, limit int) ([]Departure, Position) {
	missing := uint64(d.position - after)
	if after == 0 || after > d.position {
		missing = uint64(limit)
	}
	return d.order[len(d.order)-int(min(missing, uint64(len(d.order)))):], d.position
}

// All returns the departures, oldest first. The caller must not modify them.
func (d *Departures) All() []Departure { return d.order }
