package router

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/restrainer"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// coldRate is the rate that cold upstreams tolerate in these tests, and coldMost the requests that they
// may get in any second: the rate times 1.5, and 5.
const (
	coldRate = 5.2
	coldMost = 12
)

// fragileUpstream ends for good when it gets more than coldMost requests in a second while it is cold
// and all hosts know that.
type fragileUpstream struct {
	server *httptest.Server
	// delay is the time that a response takes.
	delay time.Duration

	mu        sync.Mutex
	cold      bool
	times     []time.Time
	most      int
	ended     bool
	total     int
	coldTotal int
}

func newFragileUpstream(t *testing.T) *fragileUpstream {
	u := &fragileUpstream{}
	u.server = httptest.NewServer(http.HandlerFunc(u.serve))
	t.Cleanup(u.server.Close)
	return u
}

func (u *fragileUpstream) serve(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	u.total++
	if now := time.Now(); u.cold {
		u.coldTotal++
		u.times = append(u.times, now)
		for now.Sub(u.times[0]) > time.Second {
			u.times = u.times[1:]
		}
		u.most = max(u.most, len(u.times))
		u.ended = u.ended || u.most > coldMost
	}
	ended := u.ended
	u.mu.Unlock()
	if ended {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			// As the system of a process that has ended does.
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	time.Sleep(u.delay)
	_, _ = io.WriteString(w, "done")
}

func (u *fragileUpstream) setCold(cold bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cold, u.times = cold, nil
}

func (u *fragileUpstream) counts() (total, coldTotal, most int, ended bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.total, u.coldTotal, u.most, u.ended
}

// applyColdRate puts a configuration in force whose upstreams tolerate a rate while they are cold.
func applyColdRate(t *testing.T, r *Router, revision uint64, rate float64) {
	t.Helper()
	c := &state.Configuration{
		Classes: []*state.Class{{Name: "c", Tier: 1}},
		Routes: []*state.Route{{
			Name: "r", PathPrefix: "/", Kind: configurer.KindService, Service: noticeService, Classes: []string{"c"},
			OpenToAll: true, Timeout: durationpb.New(4 * time.Second),
		}},
		Pools: []*state.Pool{{Name: noticeService, WarmUp: &state.WarmUp{Rate: rate, HealthPath: "/healthz"}}},
	}
	if err := r.controlPlane.applyConfiguration(&wire.SyncReply{Revision: revision, Whole: true, Configuration: c}, delivery{}); err != nil {
		t.Fatal(err)
	}
}

// coldHosts returns the routers of several hosts that know each other, with their servers. Control
// processes answer them until the test ends.
func coldHosts(t *testing.T, hosts int) (routers []*Router, urls []string) {
	var names []string
	for n := range hosts {
		names = append(names, "entry-"+strconv.Itoa(n))
	}
	for _, name := range names {
		r := newTestRouter(t)
		r.restrainer = restrainer.New(name, nil, time.Now)
		r.dispatcher.restrainer, r.upstreamClient.admit = r.restrainer, r.restrainer.Admit
		// A lease that ends since the machine is busy would take the upstreams away.
		r.dispatcher.registry = registrar.New(time.Minute)
		go func() { _ = r.dispatcher.run(t.Context()) }()
		go func() {
			for t.Context().Err() == nil {
				r.restrainer.SetHosts(announcer.HostIDs(names))
				time.Sleep(200 * time.Millisecond)
			}
		}()
		server := httptest.NewServer(r.clientHandler())
		t.Cleanup(server.Close)
		routers, urls = append(routers, r), append(urls, server.URL)
	}
	return routers, urls
}

// announceWarmUp has a router learn that an upstream is cold for some more time.
func announceWarmUp(r *Router, id, url string, sequence int, left time.Duration) {
	now := r.dispatcher.now()
	u := noticeAnnouncement(registrar.UpstreamID(id), url, 1, registrar.Sequence(sequence), now)
	u.WarmUpEndsAt = now + left
	r.dispatcher.applyAnnouncement(u)
}

// TestUpstreamTurnsColdUnderLoad guards against an upstream that becomes cold again in the middle of a
// burst and ends since all hosts together send it more than it tolerates. It gets about its rate
// meanwhile, and all that it can take once it is warm.
func TestUpstreamTurnsColdUnderLoad(t *testing.T) {
	const (
		hosts    = 4
		coldTime = 5 * time.Second
	)
	fragile, other := newFragileUpstream(t), newFragileUpstream(t)
	// The other one takes less than there is, so that requests wait for turns at the cold one.
	other.delay = 20 * time.Millisecond
	routers, urls := coldHosts(t, hosts)
	var coldUntil atomic.Int64
	// Each host hears of a heartbeat up to 300 ms later than the first one does.
	for n, r := range routers {
		applyColdRate(t, r, 1, coldRate)
		go func() {
			for sequence := 1; t.Context().Err() == nil; sequence++ {
				left := time.Duration(coldUntil.Load()) - r.dispatcher.now()
				time.Sleep(time.Duration(n) * 100 * time.Millisecond)
				announceWarmUp(r, "fragile", fragile.server.URL, sequence, max(0, left-time.Duration(n)*100*time.Millisecond))
				u := noticeAnnouncement("other", other.server.URL, 1, registrar.Sequence(sequence), r.dispatcher.now())
				u.Load.Slots = 1
				r.dispatcher.applyAnnouncement(u)
				time.Sleep(400*time.Millisecond - time.Duration(n)*100*time.Millisecond)
			}
		}()
	}
	time.Sleep(2500 * time.Millisecond)
	var (
		refused atomic.Int64
		stopped atomic.Bool
		clients sync.WaitGroup
	)
	defer clients.Wait()
	defer stopped.Store(true)
	for _, url := range urls {
		for range 4 {
			clients.Go(func() {
				for !stopped.Load() {
					if status, _ := get(t, url); status != http.StatusOK {
						refused.Add(1)
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	awaitCondition(t, "the upstream gets little", func() bool { total, _, _, _ := fragile.counts(); return total > 100 })
	coldUntil.Store(int64(routers[0].dispatcher.now() + coldTime))
	awaitCondition(t, "a host does not learn that the upstream is cold", func() bool {
		return !slices.ContainsFunc(routers, func(r *Router) bool {
			return !r.restrainer.RestraintOf(&registrar.Upstream{ID: "fragile", Serves: []string{noticeService}}).Limited
		})
	})
	fragile.setCold(true)
	known := time.Duration(coldUntil.Load()) - routers[0].dispatcher.now()
	time.Sleep(known)
	total, coldTotal, most, ended := fragile.counts()
	fragile.setCold(false)
	otherTotal, _, _, _ := other.counts()
	t.Logf("%d requests in %v, at most %d in a second; %d of all refused; %d before, %d at the other upstream",
		coldTotal, known, most, refused.Load(), total-coldTotal, otherTotal)
	if ended || most > coldMost {
		t.Errorf("the upstream has ended: %d requests in a second, it tolerates %d", most, coldMost)
	}
	// Hosts use no turns in the first second.
	if want := int(coldRate * (known.Seconds() - 1) / 2); coldTotal < want {
		t.Errorf("%d requests while the upstream was cold, want at least %d", coldTotal, want)
	}
	if got := refused.Load(); got > 0 {
		t.Errorf("%d requests were not served although the other upstream takes all", got)
	}
	awaitCondition(t, "the upstream does not get all that it can take once it is warm", func() bool {
		now, _, _, _ := fragile.counts()
		return now > total+200
	})
}

// TestCutOffHostAsksUpstream guards against a host that hears of no control process and sends to an
// upstream that is cold, which only a control process would have told.
func TestCutOffHostAsksUpstream(t *testing.T) {
	for name, test := range map[string]struct {
		cutOff bool
		health http.HandlerFunc
		// cold is whether the upstream counts as cold, and asked whether it is asked.
		cold, asked bool
	}{
		"in contact": {health: func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(translator.HeaderWarmUp, "9000") }},
		"cold": {
			cutOff: true, cold: true, asked: true,
			health: func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(translator.HeaderWarmUp, "9000") },
		},
		"warm":           {cutOff: true, asked: true, health: func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(translator.HeaderWarmUp, "0") }},
		"does not tell":  {cutOff: true, asked: true, health: func(http.ResponseWriter, *http.Request) {}},
		"knows no path":  {cutOff: true, asked: true, health: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }},
		"is no response": {cutOff: true, asked: true, health: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
	} {
		t.Run(name, func(t *testing.T) {
			r, server, upstreams := newNoticeRouter(t, "one")
			applyColdRate(t, r, 2, coldRate)
			var asked, served atomic.Int64
			upstreams["one"].set(func(w http.ResponseWriter, request *http.Request) {
				if request.URL.Path == "/healthz" {
					asked.Add(1)
					test.health(w, request)
					return
				}
				served.Add(1)
			})
			knowHosts(r, 1)
			if test.cutOff {
				time.Sleep(2100 * time.Millisecond)
			}
			get(t, server.URL)
			get(t, server.URL)
			if (asked.Load() == 1) != test.asked || asked.Load() > 1 {
				t.Errorf("the upstream was asked %d times, want once: %t", asked.Load(), test.asked)
			}
			if restraint := r.restrainer.RestraintOf(r.dispatcher.registry.Get("one")); restraint.Limited != test.cold {
				t.Errorf("limited: %t, want %t", restraint.Limited, test.cold)
			}
			if !test.cold && served.Load() != 2 {
				t.Errorf("%d requests served, want 2", served.Load())
			}
		})
	}
}

// TestColdPoolServesWaiting guards against refusals of requests that a pool whose upstreams are all cold
// serves before their deadlines, since it is warm by then.
func TestColdPoolServesWaiting(t *testing.T) {
	upstream := newFragileUpstream(t)
	routers, urls := coldHosts(t, 1)
	applyColdRate(t, routers[0], 1, 1)
	announceWarmUp(routers[0], "one", upstream.server.URL, 1, 500*time.Millisecond)
	statuses := make(chan int, 20)
	for range cap(statuses) {
		go func() {
			status, _ := get(t, urls[0])
			statuses <- status
		}()
	}
	for range cap(statuses) {
		if status := <-statuses; status != http.StatusOK {
			t.Fatalf("status %d, want 200 once the upstream is warm", status)
		}
	}
}

// TestPoolWithoutRate guards against limits at upstreams that are warming up in pools that declare none.
func TestPoolWithoutRate(t *testing.T) {
	r, server, upstreams := newNoticeRouter(t, "one")
	for _, rate := range []float64{0, -3} {
		applyColdRate(t, r, 2+uint64(-rate), rate)
		announceWarmUp(r, "one", r.dispatcher.registry.Get("one").URL, 2+int(-rate), time.Minute)
		for n := range 50 {
			if status, _ := get(t, server.URL); status != http.StatusOK {
				t.Fatalf("status %d of request %d", status, n)
			}
		}
		if restraint := r.restrainer.RestraintOf(r.dispatcher.registry.Get("one")); restraint != (restrainer.Restraint{Available: true}) {
			t.Errorf("restraint %+v, want none", restraint)
		}
	}
	if calls := upstreams["one"].calls.Load(); calls != 100 {
		t.Errorf("%d requests reached the upstream, want 100", calls)
	}
}

// TestGrantBeforeCold guards against a request that was granted an upstream before that was known to be
// cold and is sent all the same. It goes to another upstream.
func TestGrantBeforeCold(t *testing.T) {
	r, server, upstreams := newNoticeRouter(t, "one", "two")
	applyColdRate(t, r, 2, coldRate)
	knowHosts(r, 1)
	url := r.dispatcher.registry.Get("one").URL
	admit := r.upstreamClient.admit
	var refused atomic.Int64
	r.upstreamClient.admit = func(u *registrar.Upstream, reserved restrainer.Reservation) (bool, error) {
		if u.ID == "one" {
			announceWarmUp(r, "one", url, 2, time.Minute)
		}
		limited, err := admit(u, reserved)
		if err != nil {
			refused.Add(1)
		}
		return limited, err
	}
	for began := time.Now(); refused.Load() == 0 && time.Since(began) < setupTimeout; {
		if status, _ := get(t, server.URL); status != http.StatusOK {
			t.Fatalf("status %d, want 200 from the other upstream", status)
		}
	}
	if calls := upstreams["one"].calls.Load(); calls != 0 || refused.Load() == 0 {
		t.Errorf("%d requests reached the upstream that is cold, %d were not sent", calls, refused.Load())
	}
}
