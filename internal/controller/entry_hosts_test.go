package controller

import (
	"testing"

	"github.com/comfreybend/comfreybend/schema/wire"
)

// TestEntryHostsAreListed guards against an entry host that reaches no upstream and is told of nobody, of
// itself as sound, or of a process of an earlier software version that knows no relayed requests.
func TestEntryHostsAreListed(t *testing.T) {
	c := newIdle(t)
	ask := func(e *wire.EntryHosts) []*wire.EntryHost {
		reply := c.handle(t.Context(), &wire.Request{Kind: &wire.Request_EntryHosts{EntryHosts: e}})
		if reply.GetFailure() != nil || reply.GetEntryHosts() == nil {
			t.Fatalf("reply %v, want a list", reply)
		}
		return reply.GetEntryHosts().GetHosts()
	}
	poll := func(host string, self *wire.EntryHost) {
		reply := c.handle(t.Context(), &wire.Request{Kind: &wire.Request_Follow{Follow: &wire.Follow{Host: host, AcceptsRenewals: true, Self: self}}})
		if reply.GetFollow() == nil {
			t.Fatalf("reply %v to a poll", reply)
		}
	}
	if hosts := ask(&wire.EntryHosts{Host: "entry-1"}); len(hosts) != 0 {
		t.Errorf("%v is listed right after the start", hosts)
	}
	poll("entry-1", &wire.EntryHost{Host: "entry-1", FailureDomain: "a", Address: "10.0.0.1:1", Requests: 3})
	poll("entry-2", &wire.EntryHost{Host: "entry-2", FailureDomain: "b", Address: "10.0.0.2:1", CutOff: true})
	poll("earlier-version", nil)
	poll("entry-3", &wire.EntryHost{Host: "entry-1", Address: "10.0.0.3:1", CutOff: true})
	if n := c.clusterView.entryCount(); n != 4 {
		t.Errorf("%d entry processes are live, want all four that poll", n)
	}
	hosts := ask(&wire.EntryHosts{Host: "entry-2"})
	if len(hosts) != 2 || hosts[0].GetHost() != "entry-1" || hosts[0].GetRequests() != 3 || hosts[0].GetCutOff() || !hosts[1].GetCutOff() {
		t.Errorf("listed %v, want entry-1, which is not cut off, and entry-2, which is", hosts)
	}
	// Who asks says at once that it is cut off, before its next poll.
	hosts = ask(&wire.EntryHosts{Host: "entry-1", Self: &wire.EntryHost{Host: "entry-1", FailureDomain: "a", Address: "10.0.0.1:1", CutOff: true}})
	if len(hosts) != 2 || !hosts[0].GetCutOff() {
		t.Errorf("listed %v, want both as cut off", hosts)
	}
}
