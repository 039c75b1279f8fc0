package controller

import (
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// recordPoll records that an entry process polls, and what it says of itself.
func (c *Controller) recordPoll(f *wire.Follow) {
	c.clusterView.recordEntry(f.GetHost())
	c.listEntryHost(f.GetHost(), f.GetSelf())
}

// serveEntryHosts serves the question of an entry process for others that can take its requests.
func (c *Controller) serveEntryHosts(e *wire.EntryHosts) *wire.Reply {
	c.listEntryHost(e.GetHost(), e.GetSelf())
	return &wire.Reply{Kind: &wire.Reply_EntryHosts{EntryHosts: c.lister.Hosts(timer.Now())}}
}

func (c *Controller) listEntryHost(host string, self *wire.EntryHost) {
	if err := c.lister.Record(timer.Now(), host, self); err != nil {
		c.log.Debug("statement of an entry host was rejected", zap.Error(err))
	}
}
