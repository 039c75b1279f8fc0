package identifier

import (
	"strings"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/isolator"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// TestIdentity guards against requests that are taken for the same one, or for different ones,
// and against identities that tell what is in a request or that can be linked between systems.
func TestIdentity(t *testing.T) {
	now := time.UnixMilli(1000)
	a, b := NewWithKey(now), NewWithKey(now.Add(time.Second))
	id := func(i *Identifier) isolator.PartID { return i.Identify([]byte("body"), "GET", "/orders/17", "one") }
	if id(a) == id(b) {
		t.Error("two systems have the same identity of a request")
	}
	if New().Identify(nil, "GET") != "" {
		t.Error("a request has an identity before there is a key")
	}
	entry := New()
	entry.Merge(a.Key())
	if id(entry) != id(a) {
		t.Error("two processes of a system have different identities of a request")
	}
	if strings.Contains(string(id(a)), "17") && strings.Contains(string(id(a)), "orders") {
		t.Errorf("identity %s tells the path", id(a))
	}
	for name, other := range map[string]isolator.PartID{
		"body": a.Identify([]byte("bodY"), "GET", "/orders/17", "one"), "path": a.Identify([]byte("body"), "GET", "/orders/18", "one"),
		"caller": a.Identify([]byte("body"), "GET", "/orders/17", "two"), "method": a.Identify([]byte("body"), "PUT", "/orders/17", "one"),
		"boundaries": a.Identify([]byte("body"), "GET", "/orders/17o", "ne"),
	} {
		if other == id(a) {
			t.Errorf("requests that differ in their %s have the same identity", name)
		}
	}
}

// TestOldestKeyHolds guards against an identity that changes when a process starts or merges keys
// in another order.
func TestOldestKeyHolds(t *testing.T) {
	now := time.UnixMilli(1000)
	oldest := NewWithKey(now).Key()
	restarted := NewWithKey(now.Add(time.Minute))
	entry := New()
	for _, k := range []*wire.IdentityKey{restarted.Key(), oldest, restarted.Key(), nil, {Secret: []byte("short")}} {
		entry.Merge(k)
	}
	if string(entry.Key().GetSecret()) != string(oldest.GetSecret()) {
		t.Error("a younger key has replaced the oldest one")
	}
	if !restarted.Merge(entry.Key()) || restarted.Merge(entry.Key()) {
		t.Error("the restarted process does not take the oldest key once")
	}
}
