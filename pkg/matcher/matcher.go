// Package matcher decides at which upstreams a stream that broke may go on. What two versions of
// an upstream's software write does not fit together, so a stream goes on at the version that
// began it, or not at all.
//
// The version is bound when the first event is passed on to the client (Origin), and is kept by
// several processes (Origins), since the one that passed the event on may be lost. A process at
// which a client takes up a stream asks for its origin. Where no process knows it any more, a
// version can have begun the stream only if it is the only one that has served the pool
// lately (History); with two, nobody can tell, and the stream ends (Decide).
//
// The package starts no goroutines and reads no clock; the caller passes the time.
package matcher

import (
	"crypto/sha256"
	"io"
	"strconv"
	"time"
	"unique"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

type (
	// Stream identifies a stream in all processes. It reveals nothing of the client.
	Stream [16]byte

	// Pool is the name of the model or service that a stream comes from.
	Pool string

	// Origin is what began a stream.
	Origin struct {
		Pool    Pool
		Version registrar.Version
	}

	// Origins remembers the origins of streams for at least a time after they were recorded,
	// and at most twice as long. Beyond a number of streams the earliest are forgotten. It is
	// not safe for concurrent use.
	Origins struct {
		retention time.Duration
		limit     int
		// latest holds the streams recorded since rotatedAt, earlier those of the period before.
		latest, earlier map[Stream]unique.Handle[Origin]
		rotatedAt       time.Duration
	}

	// Answer is what the processes that keep origins have said of a stream.
	Answer struct {
		// Origin is that of the stream, if it is Known.
		Origin Origin
		Known  bool
		// Complete reports that all processes have answered.
		Complete bool
		// Recovering reports that one of them has started lately, so that it may still be told of the
		// stream.
		Recovering bool
	}

	// Outcome is whether a stream may go on.
	Outcome int
)

// The values of Outcome.
const (
	// Continue means that the stream may go on at upstreams of its origin's version.
	Continue Outcome = iota
	// Unknown means that nobody can tell which version began the stream. It must end.
	Unknown
	// Later means that it cannot be told now.
	Later
)

// StreamOf returns the stream whose first event came in response to an attempt of a client on
// behalf of an organisation. The same attempt of another organisation is another stream.
func StreamOf(attempt, organisation string) Stream {
	h := sha256.New()
	_, _ = io.WriteString(h, strconv.Itoa(len(organisation))+":"+organisation+attempt)
	return Stream(h.Sum(nil)[:len(Stream{})])
}

// NewOrigins returns an empty memory for at most limit streams.
func NewOrigins(retention time.Duration, limit int) *Origins {
	return &Origins{
		retention: retention, limit: limit,
		latest: map[Stream]unique.Handle[Origin]{}, earlier: map[Stream]unique.Handle[Origin]{},
	}
}

// Record records the origin of a stream. A stream that lasts has to be recorded again within the
// retention.
func (o *Origins) Record(now time.Duration, s Stream, origin Origin) {
	o.rotate(now)
	o.latest[s] = unique.Make(origin)
}

// Find returns the origin of a stream, or false if it is not known.
func (o *Origins) Find(now time.Duration, s Stream) (Origin, bool) {
	o.rotate(now)
	origin, found := o.latest[s]
	if !found {
		origin, found = o.earlier[s]
	}
	if !found {
		return Origin{}, false
	}
	return origin.Value(), true
}

// Len returns the number of streams that are remembered.
func (o *Origins) Len() int { return len(o.latest) + len(o.earlier) }

// rotate forgets the earlier streams once the latest have been recorded over the retention or
// take half of the limit.
func (o *Origins) rotate(now time.Duration) {
	if now-o.rotatedAt < o.retention && len(o.latest) < o.limit/2 {
		return
	}
	if now-o.rotatedAt >= 2*o.retention {
		clear(o.latest)
	}
	o.earlier, o.latest, o.rotatedAt = o.latest, map[Stream]unique.Handle[Origin]{}, now
}

// Decide decides whether a stream may go on, from what is known of its origin and from the
// versions that have served its pool as long as a stream may last. confirmed is whether these are
// known to be all that had served it when the stream was taken up. The second result is the
// origin, if the stream may go on.
func Decide(a Answer, pool Pool, versions []registrar.Version, confirmed bool) (Outcome, Origin) {
	switch {
	case a.Known:
		return Continue, a.Origin
	case !confirmed:
		return Later, Origin{}
	case len(versions) == 1:
		return Continue, Origin{Pool: pool, Version: versions[0]}
	case !a.Complete || a.Recovering || len(versions) == 0:
		return Later, Origin{}
	default:
		return Unknown, Origin{}
	}
}
