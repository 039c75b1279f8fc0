package locator

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/lister"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/pkg/diverter"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// controls is a model of control processes, in the time of a test.
type controls struct {
	clients []*messenger.Client
	began   time.Time

	mu sync.Mutex
	// hosts holds what each control process replies, by address.
	hosts map[string][]*wire.EntryHost
	// down holds the control processes that do not answer.
	down map[string]bool
	// askedAt holds when each was asked.
	askedAt map[string][]time.Duration
	// asking is the number of questions in progress, most the largest one so far.
	asking, most int
	// replyTime is the time until a reply.
	replyTime time.Duration
}

func newControls(addresses ...string) *controls {
	c := &controls{began: time.Now(), hosts: map[string][]*wire.EntryHost{}, down: map[string]bool{}, askedAt: map[string][]time.Duration{}, replyTime: time.Millisecond}
	for _, address := range addresses {
		c.clients = append(c.clients, messenger.NewClient(address, messenger.Security{}, time.Second))
	}
	return c
}

func (c *controls) now() time.Duration { return time.Hour + time.Since(c.began) }

func (c *controls) ask(ctx context.Context, control *messenger.Client) (*wire.EntryHostsReply, error) {
	c.mu.Lock()
	c.askedAt[control.Address()] = append(c.askedAt[control.Address()], c.now())
	c.asking++
	c.most = max(c.most, c.asking)
	down, wait := c.down[control.Address()], c.replyTime
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.asking--
	}()
	if down {
		wait = askTimeout
	}
	if !timer.Sleep(ctx, wait) || down {
		return nil, errors.New("no reply")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return &wire.EntryHostsReply{Hosts: c.hosts[control.Address()]}, nil
}

// asked returns how often control processes were asked.
func (c *controls) asked(addresses ...string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, address := range addresses {
		count += len(c.askedAt[address])
	}
	return count
}

// start returns a locator that runs, in the time of the test.
func start(t *testing.T, c *controls) *Locator {
	t.Helper()
	l := New("self", func() []*messenger.Client { return slices.Clone(c.clients) }, zap.NewNop())
	l.Now, l.Ask = c.now, c.ask
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = l.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return l
}

// TestAskedOnlyWhileWanted guards against questions that cost and serve nobody, and against a list that
// is not there when it is needed.
func TestAskedOnlyWhileWanted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControls("a", "b")
		l := start(t, c)
		time.Sleep(10 * time.Second)
		if n := c.asked("a", "b"); n != 0 {
			t.Errorf("asked %d times although the list is not wanted", n)
		}
		for range 3 {
			before := c.asked("a", "b")
			l.Want(true)
			time.Sleep(2 * c.replyTime)
			if n := c.asked("a", "b") - before; n != 2 {
				t.Errorf("asked %d times at once, want each of two", n)
			}
			time.Sleep(3 * time.Second)
			if n := c.asked("a", "b") - before; n < 18 || n > 22 {
				t.Errorf("asked %d times in 3 s, want two every 300 ms", n)
			}
			l.Want(false)
			time.Sleep(2 * askInterval)
			before = c.asked("a", "b")
			time.Sleep(3 * time.Second)
			if n := c.asked("a", "b") - before; n != 0 {
				t.Errorf("asked %d times although the list is not wanted any more", n)
			}
		}
		l.Want(true)
		time.Sleep(askInterval / 2)
		before := c.asked("a")
		l.Want(false)
		l.Want(true)
		time.Sleep(2 * c.replyTime)
		if n := c.asked("a") - before; n != 1 {
			t.Errorf("asked %d times at once when the list is wanted again, want once", n)
		}
	})
}

// TestYoungestStatementCounts guards against a host that is chosen by what it said long ago, because a
// control process which it does not poll any more still has that.
func TestYoungestStatementCounts(t *testing.T) {
	tests := map[string]struct {
		replies map[string][]*wire.EntryHost
		want    []diverter.Host
	}{
		"none": {},
		"one control process": {
			replies: map[string][]*wire.EntryHost{"a": {{Host: "e", FailureDomain: "d", Address: "e:1", Requests: 4, AgeMillis: 200}}},
			want:    []diverter.Host{{ID: "e", FailureDomain: "d", Address: "e:1", Requests: 4, Age: 200 * time.Millisecond}},
		},
		"the younger one says cut off": {
			replies: map[string][]*wire.EntryHost{"a": {{Host: "e", AgeMillis: 900}}, "b": {{Host: "e", CutOff: true, AgeMillis: 100}}},
			want:    []diverter.Host{{ID: "e", CutOff: true, Age: 100 * time.Millisecond}},
		},
		"the older one says cut off": {
			replies: map[string][]*wire.EntryHost{"a": {{Host: "e", AgeMillis: 100}}, "b": {{Host: "e", CutOff: true, AgeMillis: 900}}},
			want:    []diverter.Host{{ID: "e", Age: 100 * time.Millisecond}},
		},
		"several hosts": {
			replies: map[string][]*wire.EntryHost{"a": {{Host: "f"}, {Host: "e"}}, "b": {{Host: "g"}}},
			want:    []diverter.Host{{ID: "e"}, {ID: "f"}, {ID: "g"}},
		},
		"itself, no name and negative figures": {
			replies: map[string][]*wire.EntryHost{"a": {{Host: "self"}, {}, {Host: "e", Requests: -7, AgeMillis: -7000}}},
			want:    []diverter.Host{{ID: "e"}},
		},
		"too old": {replies: map[string][]*wire.EntryHost{"a": {{Host: "e", AgeMillis: 60_000}}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newControls("a", "b")
				c.hosts = test.replies
				l := start(t, c)
				l.Want(true)
				time.Sleep(2 * c.replyTime)
				got := l.Hosts()
				// The ages include the time since the question.
				for i := range got {
					got[i].Age -= 2 * c.replyTime
				}
				if fmt.Sprint(got) != fmt.Sprint(test.want) && len(got)+len(test.want) > 0 {
					t.Errorf("hosts %+v, want %+v", got, test.want)
				}
			})
		})
	}
}

// TestStatementsAge guards against statements that stay young while no control process answers.
func TestStatementsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControls("a")
		c.hosts["a"] = []*wire.EntryHost{{Host: "e", AgeMillis: 100}}
		c.replyTime = 50 * time.Millisecond
		l := start(t, c)
		l.Want(true)
		time.Sleep(2 * c.replyTime)
		c.mu.Lock()
		c.down["a"] = true
		c.mu.Unlock()
		if hosts := l.Hosts(); len(hosts) != 1 || hosts[0].Age != 200*time.Millisecond {
			t.Errorf("hosts %+v, want one whose age counts from the question", hosts)
		}
		time.Sleep(2 * time.Second)
		if hosts := l.Hosts(); len(hosts) != 1 || hosts[0].Age < 2*time.Second {
			t.Errorf("hosts %+v, want one of more than 2 s", hosts)
		}
		time.Sleep(statementTimeout)
		if hosts := l.Hosts(); len(hosts) != 0 {
			t.Errorf("hosts %+v, want none", hosts)
		}
	})
}

// TestControlProcessesThatHang guards against a list that grows old because control processes which do
// not answer keep the others from being asked, and against many questions at once.
func TestControlProcessesThatHang(t *testing.T) {
	const mostAtOnce = 4
	for _, hanging := range []int{0, 1, 5, 14, 27} {
		t.Run(fmt.Sprint(hanging, " of 28"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var addresses []string
				for i := range 28 {
					addresses = append(addresses, fmt.Sprint("control-", i))
				}
				c := newControls(addresses...)
				for _, address := range addresses[:hanging] {
					c.down[address] = true
				}
				l := start(t, c)
				l.Want(true)
				// The first round finds out which do not answer.
				time.Sleep(time.Duration(hanging/maxQuestions+1)*askTimeout + askInterval)
				before := c.asked(addresses[hanging:]...)
				time.Sleep(4 * time.Second)
				if n := (c.asked(addresses[hanging:]...) - before) / (28 - hanging); n < 8 {
					t.Errorf("each control process that answers was asked %d times in 4 s, want 8 or more", n)
				}
				if c.most > mostAtOnce {
					t.Errorf("%d were asked at once, want at most %d", c.most, mostAtOnce)
				}
				c.mu.Lock()
				clear(c.down)
				c.mu.Unlock()
				time.Sleep(time.Duration(hanging/2+2) * askTimeout)
				before = c.asked(addresses[:hanging]...)
				time.Sleep(time.Second)
				if n := c.asked(addresses[:hanging]...) - before; n < 2*hanging {
					t.Errorf("those that answer again were asked %d times in a second, want each at least twice", n)
				}
			})
		})
	}
}

// TestMarks guards against a second try at a host that has just replied that it is cut off, or could not
// be reached, before the control processes know.
func TestMarks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControls("a")
		say := func(age time.Duration) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.hosts["a"] = []*wire.EntryHost{{Host: "e", AgeMillis: age.Milliseconds()}, {Host: "f", AgeMillis: age.Milliseconds()}}
		}
		say(0)
		l := start(t, c)
		l.Want(true)
		time.Sleep(2 * c.replyTime)
		l.MarkCutOff("e")
		l.MarkUnreachable("f")
		if hosts := l.Hosts(); len(hosts) != 1 || !hosts[0].CutOff {
			t.Errorf("hosts %+v, want one that is cut off", hosts)
		}
		say(askInterval + time.Second)
		time.Sleep(askInterval)
		if hosts := l.Hosts(); len(hosts) != 1 || !hosts[0].CutOff {
			t.Errorf("hosts %+v after an older statement, want one that is cut off", hosts)
		}
		say(0)
		time.Sleep(askInterval)
		if hosts := l.Hosts(); len(hosts) != 1 || hosts[0].CutOff {
			t.Errorf("hosts %+v after a younger statement, want one that is not cut off", hosts)
		}
		time.Sleep(avoidTime)
		if hosts := l.Hosts(); len(hosts) != 2 {
			t.Errorf("hosts %+v after %v, want two", hosts, avoidTime)
		}
	})
}

// TestListIsBounded guards against memory that grows with what control processes say.
func TestListIsBounded(t *testing.T) {
	l := New("self", nil, zap.NewNop())
	for i := range 3 * maxHosts {
		l.merge(timer.Now(), &wire.EntryHostsReply{Hosts: []*wire.EntryHost{{Host: fmt.Sprint("entry-", i)}}})
	}
	if n := len(l.Hosts()); n != maxHosts {
		t.Errorf("%d hosts are listed, want %d", n, maxHosts)
	}
}

// TestControlProcessesOfTwoVersions guards against a list that stays empty because one control process
// does not know the question yet, or is down.
func TestControlProcessesOfTwoVersions(t *testing.T) {
	newer := lister.New()
	if err := newer.Record(timer.Now(), "e", &wire.EntryHost{Host: "e", FailureDomain: "d", Address: "127.0.0.1:1"}); err != nil {
		t.Fatal(err)
	}
	clients := []*messenger.Client{
		messenger.NewClient(serve(t, func(context.Context, *wire.Request) *wire.Reply {
			return &wire.Reply{Failure: &wire.Failure{Reason: "invalid", Detail: "unknown request"}}
		}), messenger.Security{}, time.Second),
		messenger.NewClient("127.0.0.1:1", messenger.Security{}, time.Second),
		messenger.NewClient(serve(t, func(_ context.Context, r *wire.Request) *wire.Reply {
			if err := newer.Record(timer.Now(), r.GetEntryHosts().GetHost(), r.GetEntryHosts().GetSelf()); err != nil {
				t.Error(err)
			}
			return &wire.Reply{Kind: &wire.Reply_EntryHosts{EntryHosts: newer.Hosts(timer.Now())}}
		}), messenger.Security{}, time.Second),
	}
	l := New("self", func() []*messenger.Client { return clients }, zap.NewNop())
	l.Self = func() *wire.EntryHost { return &wire.EntryHost{Host: "self", Address: "127.0.0.1:2", CutOff: true} }
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = l.Run(ctx) })
	defer func() {
		cancel()
		running.Wait()
		for _, client := range clients {
			client.Close()
		}
	}()
	l.Want(true)
	deadline := time.Now().Add(10 * time.Second)
	for len(l.Hosts()) == 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	if hosts := l.Hosts(); len(hosts) != 1 || hosts[0].ID != "e" || hosts[0].Address != "127.0.0.1:1" {
		t.Errorf("hosts %+v, want one", hosts)
	}
	if listed := newer.Hosts(timer.Now()).GetHosts(); len(listed) != 2 || !listed[1].GetCutOff() {
		t.Errorf("the control process lists %v, want the one that asks too", listed)
	}
}

// serve serves requests at a loopback address and returns the address.
func serve(t *testing.T, handle func(context.Context, *wire.Request) *wire.Reply) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = messenger.NewServer(listener, messenger.Security{}, handle).Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return listener.Addr().String()
}
