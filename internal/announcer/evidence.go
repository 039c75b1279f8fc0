package announcer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreybend/comfreybend/pkg/isolator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// RunOf returns the id of one run of an engine.
func RunOf(id registrar.UpstreamID, incarnation registrar.Incarnation) isolator.RunID {
	return isolator.RunID(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(id), uint64(incarnation))))
}

// EvidenceFromWire decodes evidence about prompt parts.
func EvidenceFromWire(e *wire.Evidence) isolator.Evidence {
	var out isolator.Evidence
	for _, r := range e.GetRuns() {
		out.Runs = append(out.Runs, isolator.Run{ID: isolator.RunID(r.GetId()), EndedAt: time.UnixMilli(r.GetEndedAtMillis()), Aside: r.GetAside()})
	}
	for _, p := range e.GetParts() {
		part := isolator.Part{ID: isolator.PartID(p.GetId()), Depth: int(p.GetDepth())}
		for _, run := range p.GetRuns() {
			part.Runs = append(part.Runs, isolator.RunID(run))
		}
		for _, run := range p.GetAfter() {
			part.After = append(part.After, isolator.RunID(run))
		}
		if p.GetClearedAtMillis() != 0 {
			part.ClearedAt = time.UnixMilli(p.GetClearedAtMillis())
		}
		out.Parts = append(out.Parts, part)
	}
	return out
}

// EvidenceToWire encodes evidence about prompt parts. The result is nil if there is none.
func EvidenceToWire(e isolator.Evidence) *wire.Evidence {
	if len(e.Runs)+len(e.Parts) == 0 {
		return nil
	}
	out := &wire.Evidence{}
	for _, r := range e.Runs {
		out.Runs = append(out.Runs, &wire.EndedRun{Id: uint64(r.ID), EndedAtMillis: r.EndedAt.UnixMilli(), Aside: r.Aside})
	}
	for _, p := range e.Parts {
		part := &wire.PartEvidence{Id: string(p.ID), Depth: int32(p.Depth)}
		for _, run := range p.Runs {
			part.Runs = append(part.Runs, uint64(run))
		}
		for _, run := range p.After {
			part.After = append(part.After, uint64(run))
		}
		if !p.ClearedAt.IsZero() {
			part.ClearedAtMillis = p.ClearedAt.UnixMilli()
		}
		out.Parts = append(out.Parts, part)
	}
	return out
}
