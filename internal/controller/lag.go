package controller

import (
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/timer"
)

const (
	// maxLagElections is the lag, in election timeouts, from which a control process counts as cut
	// off from the majority. An election usually takes less.
	maxLagElections = 2
	// unheardTime is the time without a gossip message after which entry processes are told that
	// this process has not heard from another one.
	unheardTime = 5 * maxGossipInterval / 2
)

// lag returns the time since this process knew all that was committed, or since its start if
// it never has. It is zero while that is so short that an election may be the reason.
func (c *Controller) lag() time.Duration {
	currentAt := c.clusterView.createdAt
	if n := c.membership.currentNode(); n != nil {
		currentAt = n.Status().CurrentAt
	}
	lag := timer.Now() - currentAt
	if lag <= maxLagElections*c.settings.GetControl().GetElectionTimeout().AsDuration() {
		return 0
	}
	return lag
}

// logLag logs that this process has lost the contact with the majority, or has it again.
// before is the result of the call before.
func (c *Controller) logLag(before time.Duration) time.Duration {
	lag := c.lag()
	switch {
	case lag > 0 && before == 0:
		c.log.Warn("lost the contact with the majority", zap.Duration("lag", lag))
	case before > 0 && lag == 0:
		c.log.Info("contact with the majority is back", zap.Duration("lag", before))
	}
	return lag
}

// unheard returns the ids of the other control hosts from which no gossip has arrived for some time.
func (c *Controller) unheard() []uint64 {
	var hosts []string
	now := timer.Now()
	for host := range c.peers.clientsByHost() {
		if now-c.clusterView.lastGossip(host) > unheardTime {
			hosts = append(hosts, host)
		}
	}
	return announcer.HostIDs(hosts)
}
