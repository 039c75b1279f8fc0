package announcer

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreybend/comfreybend/pkg/apportioner"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// LimitsFromWire decodes what upstreams have said of their request limits.
func LimitsFromWire(limits []*wire.RequestLimit) []apportioner.Statement {
	out := make([]apportioner.Statement, 0, len(limits))
	for _, l := range limits {
		out = append(out, apportioner.Statement{
			Upstream: apportioner.Upstream{ID: registrar.UpstreamID(l.GetUpstream()), Incarnation: registrar.Incarnation(l.GetIncarnation())},
			Named:    l.Limit != nil,
			Limit:    apportioner.Rate(l.GetLimit()),
			At:       time.UnixMilli(l.GetAtMillis()),
		})
	}
	return out
}

// LimitsToWire encodes what upstreams have said of their request limits.
func LimitsToWire(statements []apportioner.Statement) []*wire.RequestLimit {
	out := make([]*wire.RequestLimit, 0, len(statements))
	for _, s := range statements {
		l := &wire.RequestLimit{Upstream: string(s.Upstream.ID), Incarnation: uint64(s.Upstream.Incarnation), AtMillis: s.At.UnixMilli()}
		if s.Named {
			limit := float64(s.Limit)
			l.Limit = &limit
		}
		out = append(out, l)
	}
	return out
}

// HostIDs returns the ids of hosts in ascending order.
func HostIDs(names []string) []uint64 {
	ids := make([]uint64, 0, len(names))
	for _, name := range names {
		ids = append(ids, uint64(apportioner.HostOf(name)))
	}
	slices.Sort(ids)
	return ids
}

// DigestOf returns a digest of ids in ascending order, or zero if there are none.
func DigestOf(ids []uint64) uint64 {
	if len(ids) == 0 {
		return 0
	}
	var encoded []byte
	for _, id := range ids {
		encoded = binary.LittleEndian.AppendUint64(encoded, id)
	}
	return xxhash.Sum64(encoded)
}
