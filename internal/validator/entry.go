package validator

import (
	"fmt"
	"time"

	"github.com/comfreybend/comfreybend/schema/settings"
)

const (
	defaultFreshness         = 5 * time.Second
	maxFreshness             = 30 * time.Second
	defaultSyncInterval      = 500 * time.Millisecond
	defaultAnnouncementLease = 5 * time.Second
	defaultShutdownGrace     = 10 * time.Minute
	defaultShutdownDelay     = 2 * time.Second
	defaultPeerInterval      = 200 * time.Millisecond
	defaultPolicy            = "standard"

	defaultBodyBytes          = 4 << 20
	defaultHeaderBytes        = 32 << 10
	defaultConnections        = 10_000
	defaultRequestsInProgress = 5_000
	defaultHeaderTimeout      = 10 * time.Second
	defaultBodyTimeout        = 30 * time.Second
	defaultWriteTimeout       = 30 * time.Second
	defaultDeadline           = 2 * time.Minute
	defaultConnectTimeout     = time.Second
	defaultSilenceTimeout     = 10 * time.Second
	defaultProbeTimeout       = time.Second
	defaultAttempts           = 3
	defaultRetryPercent       = 10
	defaultInitialConcurrency = 8
	defaultMaximumConcurrency = 256
	defaultCircuitFailures    = 5
	defaultCircuitPause       = 2 * time.Second
	defaultUpstreamHeader     = 64 << 10
	defaultResponseBytes      = 64 << 20
	defaultLongestRetryAfter  = 5 * time.Minute
	defaultBufferedBytes      = 64 << 20
	// bufferedMemoryShare is the share of the memory limit for buffered responses.
	bufferedMemoryShare = 8
	// bodyMemoryShare is the share of the memory limit for the bodies of requests.
	bodyMemoryShare        = 3
	defaultBodyMemoryBytes = 256 << 20
	minBodyMemoryBytes     = 1 << 20
	// requestMemoryShare is the share of the memory limit for requests in progress beside their bodies, of which each
	// takes requestBytes: the goroutines and buffers of its two connections.
	requestMemoryShare           = 3
	requestBytes                 = 72 << 10
	minDefaultRequestsInProgress = 64
	// socketMemoryShare is the share of the memory limit that unread bytes may take beside it.
	socketMemoryShare = 2
	// bytesPerBody is what a body takes that is being read: up to 64 KiB in the receive buffer of its connection, and as
	// much for the part of it that does not count, with the buffers of the HTTP server.
	bytesPerBody             = 128 << 10
	minDefaultBodies         = 64
	unboundBodies            = 10_000
	defaultQueuedRequests    = 10_000
	defaultGuaranteedPercent = 3
)

func setEntryDefaults(e *settings.Entry, memoryBytes int64) {
	setDefaultDuration(&e.Freshness, defaultFreshness)
	setDefaultDuration(&e.SyncInterval, defaultSyncInterval)
	setDefaultDuration(&e.AnnouncementLease, defaultAnnouncementLease)
	setDefaultDuration(&e.ShutdownGrace, defaultShutdownGrace)
	setDefaultDuration(&e.ShutdownDelay, defaultShutdownDelay)
	setDefaultDuration(&e.PeerInterval, defaultPeerInterval)
	if e.Policy == "" {
		e.Policy = defaultPolicy
	}
	setCallerLimitDefaults(e, memoryBytes)
	setUpstreamLimitDefaults(e, memoryBytes)
	setHedgingDefaults(e.Hedging)
	if e.Queue == nil {
		e.Queue = &settings.Queue{}
	}
	setDefaultNumber(&e.Queue.Waiting, defaultQueuedRequests)
	setDefaultNumber(&e.Queue.GuaranteedPercent, defaultGuaranteedPercent)
}

func setCallerLimitDefaults(e *settings.Entry, memoryBytes int64) {
	if e.CallerLimits == nil {
		e.CallerLimits = &settings.CallerLimits{}
	}
	l := e.CallerLimits
	setDefaultNumber(&l.BodyBytes, defaultBodyBytes)
	setDefaultNumber(&l.HeaderBytes, defaultHeaderBytes)
	setDefaultNumber(&l.Connections, defaultConnections)
	setDefaultNumber(&l.RequestsInProgress, requestsInProgress(memoryBytes))
	setDefaultDuration(&l.HeaderTimeout, defaultHeaderTimeout)
	setDefaultDuration(&l.BodyTimeout, defaultBodyTimeout)
	setDefaultDuration(&l.WriteTimeout, defaultWriteTimeout)
	setDefaultDuration(&l.DefaultDeadline, defaultDeadline)
	bodies := int64(defaultBodyMemoryBytes)
	if memoryBytes > 0 {
		bodies = max(minBodyMemoryBytes, memoryBytes/bodyMemoryShare)
	}
	setDefaultNumber(&l.BodyMemoryBytes, bodies)
	setDefaultNumber(&l.SocketMemoryBytes, memoryBytes/socketMemoryShare)
	setDefaultNumber(&l.Bodies, defaultBodies(l.GetSocketMemoryBytes()))
}

// requestsInProgress returns how many requests may be in progress with a memory limit.
func requestsInProgress(memoryBytes int64) int32 {
	if memoryBytes == 0 {
		return defaultRequestsInProgress
	}
	return int32(min(defaultRequestsInProgress, max(minDefaultRequestsInProgress, memoryBytes/requestMemoryShare/requestBytes)))
}

// defaultBodies returns how many bodies may be read at the same time with an amount of memory for unread bytes.
func defaultBodies(socketMemoryBytes int64) int32 {
	if socketMemoryBytes == 0 {
		return unboundBodies
	}
	return int32(min(unboundBodies, max(minDefaultBodies, socketMemoryBytes/bytesPerBody)))
}

// checkBodies checks the settings that clients of both processes have in common.
func checkBodies(c *collector, path string, bodies int32, socketMemoryBytes int64) {
	c.checkNumber(path+"bodies", int64(bodies), 1, 1_000_000)
	if socketMemoryBytes != 0 {
		c.checkNumber(path+"socketMemoryBytes", socketMemoryBytes, 1<<20, 1<<34)
	}
}

func setUpstreamLimitDefaults(e *settings.Entry, memoryBytes int64) {
	if e.UpstreamLimits == nil {
		e.UpstreamLimits = &settings.UpstreamLimits{}
	}
	l := e.UpstreamLimits
	setDefaultDuration(&l.ConnectTimeout, defaultConnectTimeout)
	setDefaultDuration(&l.SilenceTimeout, defaultSilenceTimeout)
	setDefaultDuration(&l.ProbeTimeout, defaultProbeTimeout)
	setDefaultNumber(&l.Attempts, defaultAttempts)
	setDefaultNumber(&l.RetryPercent, defaultRetryPercent)
	setDefaultNumber(&l.InitialConcurrency, defaultInitialConcurrency)
	setDefaultNumber(&l.MaximumConcurrency, defaultMaximumConcurrency)
	setDefaultNumber(&l.CircuitFailures, defaultCircuitFailures)
	setDefaultDuration(&l.CircuitPause, defaultCircuitPause)
	setDefaultNumber(&l.HeaderBytes, defaultUpstreamHeader)
	setDefaultNumber(&l.ResponseBytes, defaultResponseBytes)
	setDefaultDuration(&l.RetryAfter, defaultLongestRetryAfter)
	buffered := int64(defaultBufferedBytes)
	if memoryBytes > 0 {
		buffered = max(1<<20, memoryBytes/bufferedMemoryShare)
	}
	setDefaultNumber(&l.BufferedBytes, buffered)
}

func checkEntry(c *collector, e *settings.Entry) {
	if e == nil {
		return
	}
	c.checkAddress("$.entry.callerListen", e.GetCallerListen())
	c.checkAddress("$.entry.upstreamListen", e.GetUpstreamListen())
	c.checkAddress("$.entry.statusListen", e.GetStatusListen())
	c.checkAddress("$.entry.peerListen", e.GetPeerListen())
	if len(e.GetControlAddresses()) == 0 {
		c.add("$.entry.controlAddresses", "empty", "at least one address")
	}
	c.checkAddresses("$.entry.controlAddresses", e.GetControlAddresses())
	c.checkAddresses("$.entry.peerAddresses", e.GetPeerAddresses())
	c.checkOptionalIP("$.entry.upstreamLocalAddress", e.GetUpstreamLocalAddress())
	c.checkDuration("$.entry.freshness", e.GetFreshness(), time.Second, maxFreshness)
	c.checkDuration("$.entry.syncInterval", e.GetSyncInterval(), 10*time.Millisecond, e.GetFreshness().AsDuration()/2)
	c.checkDuration("$.entry.announcementLease", e.GetAnnouncementLease(), 100*time.Millisecond, time.Minute)
	c.checkDuration("$.entry.shutdownGrace", e.GetShutdownGrace(), time.Second, 24*time.Hour)
	c.checkDuration("$.entry.shutdownDelay", e.GetShutdownDelay(), 0, time.Minute)
	c.checkDuration("$.entry.peerInterval", e.GetPeerInterval(), 10*time.Millisecond, time.Second)
	c.checkOneOf("$.entry.policy", e.GetPolicy(), "standard", "random", "leastReported")
	c.checkNumber("$.entry.queue.waiting", int64(e.GetQueue().GetWaiting()), 1, 1_000_000)
	c.checkNumber("$.entry.queue.guaranteedPercent", int64(e.GetQueue().GetGuaranteedPercent()), 1, 10)
	if w := e.GetAlignedWindow(); w != nil {
		c.checkDuration("$.entry.alignedWindow", w, 100*time.Millisecond, 24*time.Hour)
	}
	if b := e.GetSharedBudget(); b != nil {
		if b.GetRatio() < 0 || b.GetRatio() > 1 {
			c.add("$.entry.sharedBudget.ratio", fmt.Sprint("found ", b.GetRatio()), "0 to 1")
		}
		c.checkNumber("$.entry.sharedBudget.allowance", int64(b.GetAllowance()), 0, 1_000_000)
		c.checkDuration("$.entry.sharedBudget.window", b.GetWindow(), 100*time.Millisecond, time.Hour)
	}
	checkColdUpstreams(c, e.GetColdUpstreams())
	checkHedging(c, e.GetHedging())
	checkCallerLimits(c, e.GetCallerLimits())
	checkUpstreamLimits(c, e.GetUpstreamLimits())
}

func checkColdUpstreams(c *collector, s *settings.ColdUpstreams) {
	// A comparison with what is no number is false.
	if o := s.GetOverrun(); !(o >= 0 && o <= 100) {
		c.add("$.entry.coldUpstreams.overrun", fmt.Sprint("found ", o), "0 to 100")
	}
	if tolerance := s.GetTolerance(); !(tolerance >= 0 && tolerance <= 1e6) {
		c.add("$.entry.coldUpstreams.tolerance", fmt.Sprint("found ", tolerance), "0 to 1000000")
	}
}

func checkCallerLimits(c *collector, l *settings.CallerLimits) {
	const path = "$.entry.callerLimits."
	c.checkNumber(path+"bodyBytes", l.GetBodyBytes(), 1<<10, 1<<30)
	c.checkNumber(path+"bodyMemoryBytes", l.GetBodyMemoryBytes(), minBodyMemoryBytes, 1<<34)
	checkBodies(c, path, l.GetBodies(), l.GetSocketMemoryBytes())
	c.checkNumber(path+"headerBytes", int64(l.GetHeaderBytes()), 1<<10, 1<<20)
	c.checkNumber(path+"connections", int64(l.GetConnections()), 1, 1_000_000)
	c.checkNumber(path+"requestsInProgress", int64(l.GetRequestsInProgress()), 1, 1_000_000)
	c.checkDuration(path+"headerTimeout", l.GetHeaderTimeout(), 100*time.Millisecond, time.Minute)
	c.checkDuration(path+"bodyTimeout", l.GetBodyTimeout(), 100*time.Millisecond, 10*time.Minute)
	c.checkDuration(path+"writeTimeout", l.GetWriteTimeout(), 100*time.Millisecond, 10*time.Minute)
	c.checkDuration(path+"defaultDeadline", l.GetDefaultDeadline(), time.Second, 24*time.Hour)
}

func checkUpstreamLimits(c *collector, l *settings.UpstreamLimits) {
	const path = "$.entry.upstreamLimits."
	c.checkDuration(path+"connectTimeout", l.GetConnectTimeout(), 10*time.Millisecond, time.Minute)
	c.checkDuration(path+"silenceTimeout", l.GetSilenceTimeout(), 10*time.Millisecond, time.Hour)
	c.checkDuration(path+"probeTimeout", l.GetProbeTimeout(), 10*time.Millisecond, time.Minute)
	c.checkNumber(path+"attempts", int64(l.GetAttempts()), 1, 10)
	c.checkNumber(path+"retryPercent", int64(l.GetRetryPercent()), 1, 100)
	c.checkNumber(path+"initialConcurrency", int64(l.GetInitialConcurrency()), 1, 10_000)
	c.checkNumber(path+"maximumConcurrency", int64(l.GetMaximumConcurrency()), int64(l.GetInitialConcurrency()), 10_000)
	c.checkNumber(path+"circuitFailures", int64(l.GetCircuitFailures()), 1, 1000)
	c.checkDuration(path+"circuitPause", l.GetCircuitPause(), 10*time.Millisecond, time.Minute)
	c.checkNumber(path+"headerBytes", int64(l.GetHeaderBytes()), 1<<10, 1<<20)
	c.checkNumber(path+"responseBytes", l.GetResponseBytes(), 1<<10, 1<<34)
	c.checkDuration(path+"retryAfter", l.GetRetryAfter(), time.Second, 24*time.Hour)
	c.checkNumber(path+"bufferedBytes", l.GetBufferedBytes(), 1<<20, 1<<34)
}
