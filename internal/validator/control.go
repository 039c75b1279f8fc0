package validator

import (
	"fmt"
	"time"

	"github.com/comfreybend/comfreybend/schema/settings"
)

const (
	defaultHeartbeatInterval     = 100 * time.Millisecond
	defaultElectionTimeout       = time.Second
	defaultSnapshotEntries       = 4096
	defaultMemberSilence         = 30 * time.Second
	defaultAuditRecords          = 100_000
	defaultClaimRetention        = 24 * time.Hour
	defaultClaimsPerOrganisation = 100_000
	defaultUsageWindow           = time.Minute
	defaultSettleTime            = 5 * time.Second
	defaultReportTimeout         = 2 * time.Second
	defaultOrderInterval         = 5 * time.Second
	defaultOrderTimeout          = 300 * time.Millisecond
	defaultStartUpTime           = 2 * time.Minute
	defaultMaxStarting           = 2
	defaultDrainTime             = 10 * time.Minute

	// documentMemoryShare is the share of the memory limit for documents: to decode and commit one takes several times
	// its size.
	documentMemoryShare = 8
	// minDocumentMemoryBytes is a document of the largest size, 16 MiB, and what shows that it has ended.
	minDocumentMemoryBytes = 17 << 20
	// minHeartbeatsPerElection is the minimum election timeout in heartbeat intervals.
	minHeartbeatsPerElection = 3
)

func setControlDefaults(s *settings.Control, memoryBytes int64) {
	setOperatorLimitDefaults(s, memoryBytes)
	setDefaultDuration(&s.HeartbeatInterval, defaultHeartbeatInterval)
	setDefaultDuration(&s.ElectionTimeout, defaultElectionTimeout)
	setDefaultDuration(&s.AnnouncementLease, defaultAnnouncementLease)
	setDefaultDuration(&s.MemberSilence, defaultMemberSilence)
	setDefaultDuration(&s.PlatformLease, defaultElectionTimeout)
	setDefaultDuration(&s.AlignedSettle, defaultSettleTime)
	setDefaultDuration(&s.AlignedLatest, s.GetAlignedSettle().AsDuration())
	setDefaultNumber(&s.SnapshotEntries, defaultSnapshotEntries)
	setDefaultNumber(&s.AuditRecords, defaultAuditRecords)
	if s.Claims == nil {
		s.Claims = &settings.Claims{}
	}
	setDefaultDuration(&s.Claims.Retention, defaultClaimRetention)
	setDefaultNumber(&s.Claims.PerOrganisation, defaultClaimsPerOrganisation)
	if s.Reporting == nil {
		s.Reporting = &settings.Reporting{}
	}
	setDefaultDuration(&s.Reporting.Window, defaultUsageWindow)
	setDefaultDuration(&s.Reporting.Settle, defaultSettleTime)
	setDefaultDuration(&s.Reporting.Timeout, defaultReportTimeout)
	if s.Ordering == nil {
		s.Ordering = &settings.Ordering{}
	}
	setDefaultDuration(&s.Ordering.Interval, defaultOrderInterval)
	setDefaultDuration(&s.Ordering.Timeout, defaultOrderTimeout)
	setDefaultDuration(&s.Ordering.StartUp, defaultStartUpTime)
	setDefaultNumber(&s.Ordering.Starting, defaultMaxStarting)
	setDefaultDuration(&s.Ordering.Drain, defaultDrainTime)
}

func setOperatorLimitDefaults(s *settings.Control, memoryBytes int64) {
	if s.OperatorLimits == nil {
		s.OperatorLimits = &settings.OperatorLimits{}
	}
	l := s.OperatorLimits
	setDefaultNumber(&l.Connections, defaultConnections)
	setDefaultDuration(&l.BodyTimeout, defaultBodyTimeout)
	documents := int64(defaultBodyMemoryBytes)
	if memoryBytes > 0 {
		documents = max(minDocumentMemoryBytes, memoryBytes/documentMemoryShare)
	}
	setDefaultNumber(&l.DocumentMemoryBytes, documents)
	setDefaultNumber(&l.SocketMemoryBytes, memoryBytes/socketMemoryShare)
	setDefaultNumber(&l.Bodies, defaultBodies(l.GetSocketMemoryBytes()))
}

func checkOperatorLimits(c *collector, l *settings.OperatorLimits) {
	const path = "$.control.operatorLimits."
	c.checkNumber(path+"connections", int64(l.GetConnections()), 1, 1_000_000)
	c.checkNumber(path+"documentMemoryBytes", l.GetDocumentMemoryBytes(), minDocumentMemoryBytes, 1<<34)
	c.checkDuration(path+"bodyTimeout", l.GetBodyTimeout(), 100*time.Millisecond, 10*time.Minute)
	checkBodies(c, path, l.GetBodies(), l.GetSocketMemoryBytes())
}

func checkControl(c *collector, s *settings.Settings) {
	control := s.GetControl()
	if control == nil {
		return
	}
	c.checkAddress("$.control.peerListen", control.GetPeerListen())
	c.checkAddress("$.control.operatorListen", control.GetOperatorListen())
	c.checkAddress("$.control.statusListen", control.GetStatusListen())
	c.checkRequired("$.control.dataFolder", control.GetDataFolder())
	c.checkRequired("$.control.operatorTokenFile", control.GetOperatorTokenFile())
	if len(control.GetSeeds()) > 0 {
		c.checkAddresses("$.control.seeds", control.GetSeeds())
	} else {
		checkPeers(c, control.GetPeers(), s.GetHost().GetId())
	}
	checkOperatorLimits(c, control.GetOperatorLimits())
	c.checkDuration("$.control.announcementLease", control.GetAnnouncementLease(), 100*time.Millisecond, 10*time.Minute)
	c.checkDuration("$.control.memberSilence", control.GetMemberSilence(), 100*time.Millisecond, time.Hour)
	c.checkDuration("$.control.platformLease", control.GetPlatformLease(), 0, time.Minute)
	c.checkDuration("$.control.alignedSettle", control.GetAlignedSettle(), 0, time.Hour)
	c.checkDuration("$.control.alignedLatest", control.GetAlignedLatest(), control.GetAlignedSettle().AsDuration(), time.Hour)
	c.checkDuration("$.control.heartbeatInterval", control.GetHeartbeatInterval(), 5*time.Millisecond, 10*time.Second)
	shortest := minHeartbeatsPerElection * control.GetHeartbeatInterval().AsDuration()
	c.checkDuration("$.control.electionTimeout", control.GetElectionTimeout(), shortest, time.Minute)
	c.checkNumber("$.control.snapshotEntries", int64(control.GetSnapshotEntries()), 16, 1_000_000)
	c.checkNumber("$.control.auditRecords", int64(control.GetAuditRecords()), 100, 10_000_000)
	c.checkDuration("$.control.claims.retention", control.GetClaims().GetRetention(), time.Second, 30*24*time.Hour)
	c.checkNumber("$.control.claims.perOrganisation", int64(control.GetClaims().GetPerOrganisation()), 1, 10_000_000)
	c.checkOptionalURL("$.control.reporting.url", control.GetReporting().GetUrl())
	c.checkDuration("$.control.reporting.window", control.GetReporting().GetWindow(), 100*time.Millisecond, 24*time.Hour)
	c.checkDuration("$.control.reporting.settle", control.GetReporting().GetSettle(), 0, time.Hour)
	c.checkDuration("$.control.reporting.timeout", control.GetReporting().GetTimeout(), 10*time.Millisecond, time.Minute)
	c.checkOptionalURL("$.control.ordering.url", control.GetOrdering().GetUrl())
	c.checkDuration("$.control.ordering.interval", control.GetOrdering().GetInterval(), 10*time.Millisecond, time.Hour)
	c.checkDuration("$.control.ordering.startUp", control.GetOrdering().GetStartUp(), 100*time.Millisecond, time.Hour)
	c.checkNumber("$.control.ordering.starting", int64(control.GetOrdering().GetStarting()), 1, 1000)
	c.checkDuration("$.control.ordering.drain", control.GetOrdering().GetDrain(), 100*time.Millisecond, 24*time.Hour)
	// The controller limits its calls to the platform to half the election timeout: a
	// call may only start if the remaining leader lease covers the longest one.
	longest := control.GetElectionTimeout().AsDuration() / 2
	c.checkDuration("$.control.ordering.timeout", control.GetOrdering().GetTimeout(), 5*time.Millisecond, longest)
}

func checkPeers(c *collector, peers []*settings.ControlPeer, host string) {
	self := false
	seen := map[string]bool{}
	for i, p := range peers {
		path := fmt.Sprintf("$.control.peers[%d]", i)
		c.checkRequired(path+".id", p.GetId())
		c.checkAddress(path+".address", p.GetAddress())
		if seen[p.GetId()] {
			c.add(path+".id", "duplicate id", "each control process once")
		}
		seen[p.GetId()] = true
		self = self || p.GetId() == host
	}
	if !self {
		c.add("$.control.peers", "this host is missing", "every control process, including this one")
	}
}
