package validator

import (
	"fmt"
	"time"

	"github.com/comfreybend/comfreybend/schema/settings"
)

const (
	defaultHeartbeat       = 100 * time.Millisecond
	defaultElection        = time.Second
	defaultSnapshotEntries = 4096
	defaultMemberSilence   = 30 * time.Second
	defaultAuditRecords    = 100_000
	defaultClaimRetention  = 24 * time.Hour
	defaultClaims          = 100_000
	defaultWindow          = time.Minute
	defaultSettle          = 5 * time.Second
	defaultReportTimeout   = 2 * time.Second
	defaultOrderInterval   = 5 * time.Second
	defaultOrderTimeout    = 300 * time.Millisecond
	defaultStartUp         = 2 * time.Minute
	defaultStarting        = 2
	defaultDrain           = 10 * time.Minute

	// heartbeatsPerElection is the least number of heartbeats in an election timeout.
	heartbeatsPerElection = 3
)

func fillControl(s *settings.Control) {
	setDuration(&s.HeartbeatInterval, defaultHeartbeat)
	setDuration(&s.ElectionTimeout, defaultElection)
	setDuration(&s.AnnouncementLease, defaultAnnouncementLease)
	setDuration(&s.MemberSilence, defaultMemberSilence)
	setDuration(&s.PlatformLease, defaultElection)
	setDuration(&s.AlignedSettle, defaultSettle)
	setDuration(&s.AlignedLatest, s.GetAlignedSettle().AsDuration())
	setNumber(&s.SnapshotEntries, defaultSnapshotEntries)
	setNumber(&s.AuditRecords, defaultAuditRecords)
	if s.Claims == nil {
		s.Claims = &settings.Claims{}
	}
	setDuration(&s.Claims.Retention, defaultClaimRetention)
	setNumber(&s.Claims.PerOrganisation, defaultClaims)
	if s.Reporting == nil {
		s.Reporting = &settings.Reporting{}
	}
	setDuration(&s.Reporting.Window, defaultWindow)
	setDuration(&s.Reporting.Settle, defaultSettle)
	setDuration(&s.Reporting.Timeout, defaultReportTimeout)
	if s.Ordering == nil {
		s.Ordering = &settings.Ordering{}
	}
	setDuration(&s.Ordering.Interval, defaultOrderInterval)
	setDuration(&s.Ordering.Timeout, defaultOrderTimeout)
	setDuration(&s.Ordering.StartUp, defaultStartUp)
	setNumber(&s.Ordering.Starting, defaultStarting)
	setDuration(&s.Ordering.Drain, defaultDrain)
}

func checkControl(c *collector, whole *settings.Settings) {
	s := whole.GetControl()
	if s == nil {
		return
	}
	c.address("$.control.peerListen", s.GetPeerListen())
	c.address("$.control.operatorListen", s.GetOperatorListen())
	c.address("$.control.statusListen", s.GetStatusListen())
	c.present("$.control.dataFolder", s.GetDataFolder())
	c.present("$.control.operatorTokenFile", s.GetOperatorTokenFile())
	if len(s.GetSeeds()) > 0 {
		c.addresses("$.control.seeds", s.GetSeeds())
	} else {
		checkPeers(c, s.GetPeers(), whole.GetHost().GetId())
	}
	c.duration("$.control.announcementLease", s.GetAnnouncementLease(), 100*time.Millisecond, 10*time.Minute)
	c.duration("$.control.memberSilence", s.GetMemberSilence(), 100*time.Millisecond, time.Hour)
	c.duration("$.control.platformLease", s.GetPlatformLease(), 0, time.Minute)
	c.duration("$.control.alignedSettle", s.GetAlignedSettle(), 0, time.Hour)
	c.duration("$.control.alignedLatest", s.GetAlignedLatest(), s.GetAlignedSettle().AsDuration(), time.Hour)
	c.duration("$.control.heartbeatInterval", s.GetHeartbeatInterval(), 5*time.Millisecond, 10*time.Second)
	lowest := heartbeatsPerElection * s.GetHeartbeatInterval().AsDuration()
	c.duration("$.control.electionTimeout", s.GetElectionTimeout(), lowest, time.Minute)
	c.number("$.control.snapshotEntries", int64(s.GetSnapshotEntries()), 16, 1_000_000)
	c.number("$.control.auditRecords", int64(s.GetAuditRecords()), 100, 10_000_000)
	c.duration("$.control.claims.retention", s.GetClaims().GetRetention(), time.Second, 30*24*time.Hour)
	c.number("$.control.claims.perOrganisation", int64(s.GetClaims().GetPerOrganisation()), 1, 10_000_000)
	c.optionalURL("$.control.reporting.url", s.GetReporting().GetUrl())
	c.duration("$.control.reporting.window", s.GetReporting().GetWindow(), 100*time.Millisecond, 24*time.Hour)
	c.duration("$.control.reporting.settle", s.GetReporting().GetSettle(), 0, time.Hour)
	c.duration("$.control.reporting.timeout", s.GetReporting().GetTimeout(), 10*time.Millisecond, time.Minute)
	c.optionalURL("$.control.ordering.url", s.GetOrdering().GetUrl())
	c.duration("$.control.ordering.interval", s.GetOrdering().GetInterval(), 10*time.Millisecond, time.Hour)
	c.duration("$.control.ordering.startUp", s.GetOrdering().GetStartUp(), 100*time.Millisecond, time.Hour)
	c.number("$.control.ordering.starting", int64(s.GetOrdering().GetStarting()), 1, 1000)
	c.duration("$.control.ordering.drain", s.GetOrdering().GetDrain(), 100*time.Millisecond, 24*time.Hour)
	half := s.GetElectionTimeout().AsDuration() / 2
	c.duration("$.control.ordering.timeout", s.GetOrdering().GetTimeout(), 5*time.Millisecond, half)
}

func checkPeers(c *collector, peers []*settings.ControlPeer, host string) {
	self := false
	seen := map[string]bool{}
	for i, p := range peers {
		path := fmt.Sprintf("$.control.peers[%d]", i)
		c.present(path+".id", p.GetId())
		c.address(path+".address", p.GetAddress())
		if seen[p.GetId()] {
			c.add(path+".id", "stands twice", "each control process once")
		}
		seen[p.GetId()] = true
		self = self || p.GetId() == host
	}
	if !self {
		c.add("$.control.peers", "this host is missing", "every control process, this one included")
	}
}
