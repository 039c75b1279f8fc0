// Package versioner keeps, in a control process, which software version began each stream that may
// be taken up, and finds the versions that no upstream announces any more.
package versioner

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/pkg/matcher"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// originRetention is the time for which the origin of a stream is kept at least. Entry
	// processes report those of open streams again, so it covers the time for which a client is
	// away.
	originRetention = time.Minute
	// maxOrigins is the number of streams whose origins are kept. Each takes about 60 bytes.
	maxOrigins = 200_000
	// MaxOriginsPerMessage bounds the origins in one message.
	MaxOriginsPerMessage = 4096
	// versionRetention is the time after which a version that no upstream announces any more
	// cannot have begun a stream that is still taken up.
	versionRetention = 10 * time.Minute
	maxPoolBytes     = 256
)

// Versioner holds the origins of streams. It is safe for concurrent use.
type Versioner struct {
	// incarnation tells this process from earlier ones, whose origins are lost.
	incarnation uint64
	createdAt   time.Duration

	mu      sync.Mutex
	origins *matcher.Origins
	retirer *matcher.Retirer
}

// New returns a versioner that knows no stream.
func New(now time.Duration) *Versioner {
	return &Versioner{
		incarnation: rand.Uint64N(math.MaxUint64) + 1, createdAt: now,
		origins: matcher.NewOrigins(originRetention, maxOrigins), retirer: matcher.NewRetirer(versionRetention),
	}
}

// Serve records the origins in a message and returns those that it asks for. Origins that are
// malformed are ignored.
func (v *Versioner) Serve(now time.Duration, o *wire.Origins) *wire.OriginsReply {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, begun := range o.GetBegun()[:min(len(o.GetBegun()), MaxOriginsPerMessage)] {
		if s, valid := streamOf(begun.GetStream()); valid && isValid(begun) {
			v.origins.Record(now, s, OriginFromWire(begun))
		}
	}
	reply := &wire.OriginsReply{Incarnation: v.incarnation, AgeMillis: (now - v.createdAt).Milliseconds(), Streams: int64(v.origins.Len())}
	for _, wanted := range o.GetWanted()[:min(len(o.GetWanted()), MaxOriginsPerMessage)] {
		s, valid := streamOf(wanted)
		if !valid {
			continue
		}
		if origin, known := v.origins.Find(now, s); known {
			reply.Known = append(reply.Known, OriginToWire(s, origin))
		}
	}
	return reply
}

// Streams returns the number of streams whose origins are kept.
func (v *Versioner) Streams() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.origins.Len()
}

// Retired returns those of the held versions that none of the upstreams has announced for as long
// as a stream may be taken up. It is called again and again.
func (v *Versioner) Retired(now time.Duration, upstreams []*wire.Upstream, held []matcher.Origin) []matcher.Origin {
	announced := map[matcher.Origin]bool{}
	for _, u := range upstreams {
		for _, o := range originsOf(u.GetKind(), u.GetServes(), registrar.Version(u.GetVersion())) {
			announced[o] = true
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.retirer.Observe(now, announced, held)
}

// Served returns the versions that are held and those that upstreams announce.
func Served(held []matcher.Origin, upstreams []*wire.Upstream) []*state.PoolVersion {
	var out []*state.PoolVersion
	seen := map[matcher.Origin]bool{}
	add := func(origins []matcher.Origin) {
		for _, o := range origins {
			if !seen[o] {
				seen[o] = true
				out = append(out, &state.PoolVersion{Pool: string(o.Pool), Version: string(o.Version)})
			}
		}
	}
	add(held)
	for _, u := range upstreams {
		add(originsOf(u.GetKind(), u.GetServes(), registrar.Version(u.GetVersion())))
	}
	return out
}

// OriginsOf returns the pools and the version that an upstream serves with.
func OriginsOf(u *registrar.Upstream) []matcher.Origin {
	return originsOf(string(u.Kind), u.Serves, u.Version)
}

func originsOf(kind string, serves []string, version registrar.Version) []matcher.Origin {
	out := make([]matcher.Origin, 0, len(serves))
	for _, name := range serves {
		out = append(out, matcher.Origin{Pool: matcher.Pool(kind + "/" + name), Version: version})
	}
	return out
}

// OriginFromWire decodes an origin.
func OriginFromWire(o *wire.Origin) matcher.Origin {
	return matcher.Origin{Pool: matcher.Pool(o.GetPool()), Version: registrar.Version(o.GetVersion())}
}

// OriginToWire encodes the origin of a stream.
func OriginToWire(s matcher.Stream, o matcher.Origin) *wire.Origin {
	return &wire.Origin{Stream: s[:], Pool: string(o.Pool), Version: string(o.Version)}
}

func isValid(o *wire.Origin) bool {
	return len(o.GetPool()) <= maxPoolBytes && len(o.GetVersion()) <= registrar.MaxVersionBytes
}

func streamOf(id []byte) (matcher.Stream, bool) {
	var s matcher.Stream
	return s, copy(s[:], id) == len(s) && len(id) == len(s)
}
