package limiter

import "time"

// demandLifetime is the age at which the demand that a process reported last is considered unknown.
const demandLifetime = 2 * time.Second

type (
	// Demands holds the demand of the other processes that use the same upstreams. It is not safe
	// for concurrent use.
	Demands struct {
		// processes is the number of the others.
		processes int
		// byHost holds the latest demand by the host of the process.
		byHost map[string]reportedDemand
	}

	// reportedDemand is the latest demand of one process, by pool.
	reportedDemand struct {
		at     time.Duration
		byPool map[string]int
	}
)

// NewDemands returns the demand, not known yet, of a number of other processes.
func NewDemands(processes int) *Demands {
	return &Demands{processes: processes, byHost: map[string]reportedDemand{}}
}

// Record records the demand of a process by pool, which replaces its previous one.
func (d *Demands) Record(now time.Duration, host string, byPool map[string]int) {
	d.byHost[host] = reportedDemand{at: now, byPool: byPool}
}

// Of returns, for one pool, the demand of each process that reported lately, and unknown demand for
// the rest.
func (d *Demands) Of(now time.Duration, pool string) []Demand {
	out := make([]Demand, 0, d.processes)
	for host, r := range d.byHost {
		if now-r.at > demandLifetime {
			delete(d.byHost, host)
			continue
		}
		out = append(out, Demand{Requests: r.byPool[pool], Known: true})
	}
	for len(out) < d.processes {
		out = append(out, Demand{})
	}
	return out
}
