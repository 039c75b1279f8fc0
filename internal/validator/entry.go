package validator

import (
	"fmt"
	"time"

	"github.com/comfreybend/comfreybend/schema/settings"
)

const (
	defaultFreshness         = 5 * time.Second
	maximumFreshness         = 30 * time.Second
	defaultSyncInterval      = 500 * time.Millisecond
	defaultAnnouncementLease = 5 * time.Second
	defaultShutdownGrace     = 10 * time.Minute
	defaultShutdownDelay     = 2 * time.Second
	defaultPeerInterval      = 200 * time.Millisecond
	defaultPolicy            = "standard"

	defaultBodyBytes      = 4 << 20
	defaultHeaderBytes    = 32 << 10
	defaultConnections    = 10_000
	defaultInProgress     = 5_000
	defaultHeaderTimeout  = 10 * time.Second
	defaultBodyTimeout    = 30 * time.Second
	defaultWriteTimeout   = 30 * time.Second
	defaultDeadline       = 2 * time.Minute
	defaultConnectTimeout = time.Second
	defaultSilence        = 10 * time.Second
	defaultProbeTimeout   = time.Second
	defaultAttempts       = 3
	defaultRetryPercent   = 10
	defaultInitial        = 8
	defaultMaximum        = 256
	defaultFailures       = 5
	defaultCircuitPause   = 2 * time.Second
	defaultWaiting        = 10_000
	defaultGuaranteed     = 3
)

func fillEntry(e *settings.Entry) {
	setDuration(&e.Freshness, defaultFreshness)
	setDuration(&e.SyncInterval, defaultSyncInterval)
	setDuration(&e.AnnouncementLease, defaultAnnouncementLease)
	setDuration(&e.ShutdownGrace, defaultShutdownGrace)
	setDuration(&e.ShutdownDelay, defaultShutdownDelay)
	setDuration(&e.PeerInterval, defaultPeerInterval)
	if e.Policy == "" {
		e.Policy = defaultPolicy
	}
	fillCallerLimits(e)
	fillUpstreamLimits(e)
	if e.Queue == nil {
		e.Queue = &settings.Queue{}
	}
	setNumber(&e.Queue.Waiting, defaultWaiting)
	setNumber(&e.Queue.GuaranteedPercent, defaultGuaranteed)
}

func fillCallerLimits(e *settings.Entry) {
	if e.CallerLimits == nil {
		e.CallerLimits = &settings.CallerLimits{}
	}
	l := e.CallerLimits
	setNumber(&l.BodyBytes, defaultBodyBytes)
	setNumber(&l.HeaderBytes, defaultHeaderBytes)
	setNumber(&l.Connections, defaultConnections)
	setNumber(&l.RequestsInProgress, defaultInProgress)
	setDuration(&l.HeaderTimeout, defaultHeaderTimeout)
	setDuration(&l.BodyTimeout, defaultBodyTimeout)
	setDuration(&l.WriteTimeout, defaultWriteTimeout)
	setDuration(&l.DefaultDeadline, defaultDeadline)
}

func fillUpstreamLimits(e *settings.Entry) {
	if e.UpstreamLimits == nil {
		e.UpstreamLimits = &settings.UpstreamLimits{}
	}
	l := e.UpstreamLimits
	setDuration(&l.ConnectTimeout, defaultConnectTimeout)
	setDuration(&l.SilenceTimeout, defaultSilence)
	setDuration(&l.ProbeTimeout, defaultProbeTimeout)
	setNumber(&l.Attempts, defaultAttempts)
	setNumber(&l.RetryPercent, defaultRetryPercent)
	setNumber(&l.InitialConcurrency, defaultInitial)
	setNumber(&l.MaximumConcurrency, defaultMaximum)
	setNumber(&l.CircuitFailures, defaultFailures)
	setDuration(&l.CircuitPause, defaultCircuitPause)
}

func checkEntry(c *collector, e *settings.Entry) {
	if e == nil {
		return
	}
	c.address("$.entry.callerListen", e.GetCallerListen())
	c.address("$.entry.upstreamListen", e.GetUpstreamListen())
	c.address("$.entry.statusListen", e.GetStatusListen())
	c.address("$.entry.peerListen", e.GetPeerListen())
	if len(e.GetControlAddresses()) == 0 {
		c.add("$.entry.controlAddresses", "empty", "at least one address")
	}
	c.addresses("$.entry.controlAddresses", e.GetControlAddresses())
	c.addresses("$.entry.peerAddresses", e.GetPeerAddresses())
	c.duration("$.entry.freshness", e.GetFreshness(), time.Second, maximumFreshness)
	c.duration("$.entry.syncInterval", e.GetSyncInterval(), 10*time.Millisecond, e.GetFreshness().AsDuration()/2)
	c.duration("$.entry.announcementLease", e.GetAnnouncementLease(), 100*time.Millisecond, time.Minute)
	c.duration("$.entry.shutdownGrace", e.GetShutdownGrace(), time.Second, 24*time.Hour)
	c.duration("$.entry.shutdownDelay", e.GetShutdownDelay(), 0, time.Minute)
	c.duration("$.entry.peerInterval", e.GetPeerInterval(), 10*time.Millisecond, time.Second)
	c.oneOf("$.entry.policy", e.GetPolicy(), "standard", "random", "leastReported")
	c.number("$.entry.queue.waiting", int64(e.GetQueue().GetWaiting()), 1, 1_000_000)
	c.number("$.entry.queue.guaranteedPercent", int64(e.GetQueue().GetGuaranteedPercent()), 1, 10)
	if w := e.GetAlignedWindow(); w != nil {
		c.duration("$.entry.alignedWindow", w, 100*time.Millisecond, 24*time.Hour)
	}
	if b := e.GetSharedBudget(); b != nil {
		if b.GetRatio() < 0 || b.GetRatio() > 1 {
			c.add("$.entry.sharedBudget.ratio", fmt.Sprint("found ", b.GetRatio()), "0 to 1")
		}
		c.number("$.entry.sharedBudget.allowance", int64(b.GetAllowance()), 0, 1_000_000)
		c.duration("$.entry.sharedBudget.window", b.GetWindow(), 100*time.Millisecond, time.Hour)
	}
	checkCallerLimits(c, e.GetCallerLimits())
	checkUpstreamLimits(c, e.GetUpstreamLimits())
}

func checkCallerLimits(c *collector, l *settings.CallerLimits) {
	const path = "$.entry.callerLimits."
	c.number(path+"bodyBytes", l.GetBodyBytes(), 1<<10, 1<<30)
	c.number(path+"headerBytes", int64(l.GetHeaderBytes()), 1<<10, 1<<20)
	c.number(path+"connections", int64(l.GetConnections()), 1, 1_000_000)
	c.number(path+"requestsInProgress", int64(l.GetRequestsInProgress()), 1, 1_000_000)
	c.duration(path+"headerTimeout", l.GetHeaderTimeout(), 100*time.Millisecond, time.Minute)
	c.duration(path+"bodyTimeout", l.GetBodyTimeout(), 100*time.Millisecond, 10*time.Minute)
	c.duration(path+"writeTimeout", l.GetWriteTimeout(), 100*time.Millisecond, 10*time.Minute)
	c.duration(path+"defaultDeadline", l.GetDefaultDeadline(), time.Second, 24*time.Hour)
}

func checkUpstreamLimits(c *collector, l *settings.UpstreamLimits) {
	const path = "$.entry.upstreamLimits."
	c.duration(path+"connectTimeout", l.GetConnectTimeout(), 10*time.Millisecond, time.Minute)
	c.duration(path+"silenceTimeout", l.GetSilenceTimeout(), 10*time.Millisecond, time.Hour)
	c.duration(path+"probeTimeout", l.GetProbeTimeout(), 10*time.Millisecond, time.Minute)
	c.number(path+"attempts", int64(l.GetAttempts()), 1, 10)
	c.number(path+"retryPercent", int64(l.GetRetryPercent()), 1, 100)
	c.number(path+"initialConcurrency", int64(l.GetInitialConcurrency()), 1, 10_000)
	c.number(path+"maximumConcurrency", int64(l.GetMaximumConcurrency()), int64(l.GetInitialConcurrency()), 10_000)
	c.number(path+"circuitFailures", int64(l.GetCircuitFailures()), 1, 1000)
	c.duration(path+"circuitPause", l.GetCircuitPause(), 10*time.Millisecond, time.Minute)
}
