package router

import (
	"time"

	"github.com/comfreybend/comfreybend/schema/wire"
)

// cursor is how far this process has read the updates of a control process.
type cursor struct {
	// tableID identifies the control process's table that the positions refer to.
	tableID uint64
	// position is the position reached in the announcements of upstreams.
	position uint64
	// leavesPosition is the position reached in the leaves alone.
	leavesPosition uint64
	// loadPosition and cachedPartsPosition are the positions reached in the cluster
	// load and in the cached parts.
	loadPosition, cachedPartsPosition uint64
	// evidencePosition is the position reached in the evidence about prompt parts, and
	// reportedEvidence that of this process's evidence that the control process has.
	evidencePosition uint64
	reportedEvidence evidencePosition
	// behindSince is the time since which the control process has a later configuration
	// than this process, zero if it has not.
	behindSince time.Duration
}

// cursorAfter returns the cursor after a reply. A reply contains the cluster load only if
// the request contained the load of this process. Otherwise the positions in the cluster
// load are kept as long as the table is the same.
func cursorAfter(request *wire.Follow, reply *wire.FollowReply) cursor {
	next := cursor{tableID: reply.GetTable(), position: reply.GetPosition(), evidencePosition: reply.GetEvidencePosition()}
	if reply.GetStandby() {
		next.leavesPosition = reply.GetLeavesPosition()
		if request.GetTable() == reply.GetTable() {
			next.position = request.GetPosition()
		}
	}
	switch {
	case request.GetLoadShare() != nil:
		next.loadPosition, next.cachedPartsPosition = reply.GetLoadPosition(), reply.GetHeldPosition()
	case request.GetTable() == reply.GetTable():
		next.loadPosition, next.cachedPartsPosition = request.GetLoadPosition(), request.GetHeldPosition()
	}
	return next
}
