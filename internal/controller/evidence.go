package controller

import (
	"github.com/comfreybend/comfreybend/schema/wire"
)

// mergeEvidence adds the evidence of another process and passes on what is new.
func (c *Controller) mergeEvidence(e *wire.Evidence) {
	if !c.evidence.Merge(c.clusterView.agreedTime(c.settings.GetHost().GetId()), e) {
		return
	}
	for _, v := range c.evidence.NewlyHeld() {
		c.log.Warn("a prompt part crashes engines", v.Fields()...)
	}
	c.wakeGossip()
}
