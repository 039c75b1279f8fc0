package lister

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/wire"
)

const start = time.Hour

// valid returns a valid statement of a host.
func valid(host string) *wire.EntryHost {
	return &wire.EntryHost{Host: host, FailureDomain: "stgo-a", Address: "10.1.0.7:7001", Requests: 30}
}

// TestRecord guards against entry hosts that cannot take requests and are listed all the same, and
// against processes of an earlier software version that are taken for ones that can.
func TestRecord(t *testing.T) {
	tests := map[string]struct {
		host    string
		change  func(s *wire.EntryHost)
		none    bool
		invalid bool
		listed  int
	}{
		"valid":                     {host: "e", change: func(*wire.EntryHost) {}, listed: 1},
		"cut off":                   {host: "e", change: func(s *wire.EntryHost) { s.CutOff = true }, listed: 1},
		"says nothing":              {host: "e", none: true},
		"speaks for another host":   {host: "e", change: func(s *wire.EntryHost) { s.Host = "f" }, invalid: true},
		"no host":                   {change: func(*wire.EntryHost) {}, invalid: true},
		"no address":                {host: "e", change: func(s *wire.EntryHost) { s.Address = "" }, invalid: true},
		"an address without a port": {host: "e", change: func(s *wire.EntryHost) { s.Address = "10.0.0.1" }, invalid: true},
		"an address with no number": {host: "e", change: func(s *wire.EntryHost) { s.Address = "10.0.0.1:" }, invalid: true},
		"a long failure domain":     {host: "e", change: func(s *wire.EntryHost) { s.FailureDomain = strings.Repeat("d", maxNameBytes+1) }, invalid: true},
		"a long address":            {host: "e", change: func(s *wire.EntryHost) { s.Address = strings.Repeat("a", maxNameBytes) + ":1" }, invalid: true},
		"a long host":               {host: strings.Repeat("e", maxNameBytes+1), change: func(*wire.EntryHost) {}, invalid: true},
		"fewer than no requests":    {host: "e", change: func(s *wire.EntryHost) { s.Requests = -1 }, invalid: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := New()
			var s *wire.EntryHost
			if !test.none {
				s = valid(test.host)
				test.change(s)
			}
			err := l.Record(start, test.host, s)
			var invalid *InvalidError
			if errors.As(err, &invalid) != test.invalid || err != nil && !test.invalid {
				t.Errorf("error %v, want one: %t", err, test.invalid)
			}
			listed := l.Hosts(start).GetHosts()
			if len(listed) != test.listed {
				t.Errorf("listed %v, want %d", listed, test.listed)
			}
			if len(listed) == 1 && !proto.Equal(listed[0], s) {
				t.Errorf("listed %v, want %v", listed[0], s)
			}
		})
	}
}

// TestLatestStatementCounts guards against a host that is listed by what it said before, or longer than
// five seconds after its last poll.
func TestLatestStatementCounts(t *testing.T) {
	l := New()
	for i, cutOff := range []bool{false, true, false, true} {
		now := start + time.Duration(i)*time.Second
		s := valid("e")
		s.CutOff = cutOff
		s.AgeMillis = 99 // Not the sender's to say.
		if err := l.Record(now, "e", s); err != nil {
			t.Fatal(err)
		}
		hosts := l.Hosts(now + 250*time.Millisecond).GetHosts()
		if len(hosts) != 1 || hosts[0].GetCutOff() != cutOff || hosts[0].GetAgeMillis() != 250 {
			t.Errorf("hosts %v, want one of 250 ms with cutOff %t", hosts, cutOff)
		}
	}
	last := start + 3*time.Second
	if hosts := l.Hosts(last + statementTimeout).GetHosts(); len(hosts) != 1 {
		t.Errorf("hosts %v after %v, want one", hosts, statementTimeout)
	}
	if hosts := l.Hosts(last + statementTimeout + 1).GetHosts(); len(hosts) != 0 {
		t.Errorf("hosts %v after more than %v, want none", hosts, statementTimeout)
	}
}

// TestRestart guards against a control process that has started again and does not list an entry host
// after its next poll.
func TestRestart(t *testing.T) {
	const hosts = 194
	l := New()
	if n := len(l.Hosts(start).GetHosts()); n != 0 {
		t.Errorf("%d hosts right after the start", n)
	}
	for i := range hosts {
		if err := l.Record(start, fmt.Sprint("e-", i), valid(fmt.Sprint("e-", i))); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(l.Hosts(start).GetHosts()); n != hosts {
		t.Errorf("%d hosts are listed after a poll of each, want %d", n, hosts)
	}
}

// TestMemoryIsBounded guards against memory that grows with the names that polls state, and against a
// full list that stays full after the hosts have gone away.
func TestMemoryIsBounded(t *testing.T) {
	l := New()
	var refused int
	for i := range 2 * maxHosts {
		if l.Record(start, fmt.Sprint("e-", i), valid(fmt.Sprint("e-", i))) != nil {
			refused++
		}
	}
	if n := len(l.statements); n != maxHosts || refused != maxHosts {
		t.Errorf("%d hosts are listed and %d refused, want %d each", n, refused, maxHosts)
	}
	if err := l.Record(start, "e-0", valid("e-0")); err != nil {
		t.Errorf("a listed host is refused: %v", err)
	}
	if err := l.Record(start+2*statementTimeout, "new", valid("new")); err != nil {
		t.Errorf("a host is refused after the others have been silent: %v", err)
	}
}

// TestBytesAtSize guards against messages that are larger than docs/CAPACITY.md says: at 320 entry hosts,
// each of which polls two of 28 control processes.
func TestBytesAtSize(t *testing.T) {
	const (
		hosts, controls, polled = 320, 28, 2
		// maxSelfBytes bounds what a poll states of its sender, maxRoundBytes the replies of all
		// control processes to the question of one host, maxKeptBytes the statements that a control
		// process keeps if all hosts poll it.
		maxSelfBytes, maxRoundBytes, maxKeptBytes = 64, 40_000, 20_000
	)

	statement := func(i int) *wire.EntryHost {
		host := fmt.Sprintf("edge-region-a-%03d", i)
		return &wire.EntryHost{Host: host, FailureDomain: "region-a", Address: fmt.Sprintf("10.20.%d.%d:17001", i/250, i%250+1), Requests: 200 + int32(i)}
	}
	poll := &wire.Follow{}
	without := proto.Size(poll)
	poll.Self = statement(319)
	selfBytes := proto.Size(poll) - without
	round, kept := 0, 0
	for control := range controls {
		l := New()
		for i := range hosts {
			for k := range polled {
				if (i+k*7)%controls == control {
					if err := l.Record(start, statement(i).GetHost(), statement(i)); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		round += proto.Size(&wire.Reply{Kind: &wire.Reply_EntryHosts{EntryHosts: l.Hosts(start + 400*time.Millisecond)}})
	}
	for i := range hosts {
		kept += proto.Size(statement(i))
	}
	t.Logf("%d bytes in a poll, %d in the replies to a question, %d kept at most", selfBytes, round, kept)
	if selfBytes > maxSelfBytes || round > maxRoundBytes || kept > maxKeptBytes {
		t.Errorf("%d bytes in a poll, %d in the replies to a question, %d kept; want at most %d, %d, %d",
			selfBytes, round, kept, maxSelfBytes, maxRoundBytes, maxKeptBytes)
	}
}

func ExampleLister() {
	l := New()
	said := &wire.EntryHost{Host: "entry-1", FailureDomain: "domain-1", Address: "10.0.0.1:7000", CutOff: true, Requests: 12}
	fmt.Println(l.Record(time.Hour, "entry-1", said))
	for _, h := range l.Hosts(time.Hour + 300*time.Millisecond).GetHosts() {
		fmt.Println(h.GetHost(), h.GetCutOff(), h.GetRequests(), h.GetAgeMillis())
	}
	fmt.Println(l.Record(time.Hour, "entry-2", said))
	// Output:
	// <nil>
	// entry-1 true 12 300
	// statement of entry host "entry-2": it names the host "entry-1"
}
