package controller

import (
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/schema/wire"
)

// mergeEvidence adds the evidence of another process and passes on what is new.
func (c *Controller) mergeEvidence(e *wire.Evidence) {
	if !c.evidence.Merge(c.clusterView.agreedTime(c.settings.GetHost().GetId()), e) {
		return
	}
	for _, v := range c.evidence.NewlyHeld() {
		c.log.Warn("a prompt part crashes engines", zap.String("part", string(v.Part)), zap.Int("instants", v.Instants),
			zap.Time("firstEnd", v.FirstEnd), zap.Time("lastEnd", v.LastEnd), zap.Time("heldUntil", v.HeldUntil))
	}
	c.wakeGossip()
}
