package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// leavingTimeout bounds the time until a leaving upstream gets no new requests.
const leavingTimeout = 2 * time.Second

// TestGracefulStopOfEntry guards against streams that a planned restart cuts off. An
// entry process is terminated during a stream: it must report that it is not ready,
// complete the stream, and accept requests again after its restart.
func TestGracefulStopOfEntry(t *testing.T) {
	s := startSystem(t, layout{controls: 1, entries: []string{"a"}})
	s.configure()
	e := s.entries[0]
	s.startUpstream("engine-a", "a", "model", "m", s.entries, "--token-interval", "20ms")
	s.startUpstream("orders-a", "a", "service", "orders", s.entries)
	key := s.grant("one")
	s.awaitKey(key.Key, e)
	s.awaitCompletion(e, key.Key)

	const tokens = 150
	stream := e.openStream(t, key.Key, tokens)
	stream.readTokens(t, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.terminate()
	}()
	eventually(t, waitTimeout, func() error {
		if e.ready() == nil {
			return fmt.Errorf("still ready")
		}
		return nil
	})
	checkTokens(t, stream.readRest(), tokens)
	<-done
	e.start()
	s.awaitKey(key.Key, e)
}

// TestLeavingUpstream guards against new requests to an upstream that announced its
// departure. An upstream leaves during a stream: after leavingTimeout, no entry
// process may send it new requests, and it must complete the stream.
func TestLeavingUpstream(t *testing.T) {
	s := startSystem(t, layout{controls: 1, entries: []string{"a", "a", "a"}})
	s.configure()
	first := s.entries[0]
	leaving := s.startUpstream("engine-1", "a", "model", "m", s.entries[:1], "--token-interval", "20ms", "--slots", "64")
	s.startUpstream("orders-a", "a", "service", "orders", s.entries)
	key := s.grant("one")
	s.awaitKey(key.Key, s.entries...)
	for _, e := range s.entries {
		s.awaitCompletion(e, key.Key)
	}
	const tokens = 200
	stream := first.openStream(t, key.Key, tokens)
	stream.readTokens(t, 1)
	staying := s.startUpstream("engine-2", "a", "model", "m", s.entries, "--slots", "64")
	eventually(t, waitTimeout, func() error {
		first.complete(key.Key, 1)
		if staying.stats(t).Calls == 0 {
			return fmt.Errorf("the second engine has received no request yet")
		}
		return nil
	})

	response, err := http.Post(leaving.url+"/emulator/v1/leave", "application/json", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	announced := time.Now()
	var settled int
	for time.Since(announced) < 2*leavingTimeout {
		if time.Since(announced) < leavingTimeout {
			settled = leaving.stats(t).Calls
		}
		for _, e := range s.entries {
			if a := e.complete(key.Key, 1); a.status != http.StatusOK {
				t.Fatalf("%s: status %d, body %s", e.id, a.status, a.body)
			}
		}
	}
	if after := leaving.stats(t).Calls; after != settled {
		t.Errorf("the leaving upstream got %d new requests after %v", after-settled, leavingTimeout)
	}
	checkTokens(t, stream.readRest(), tokens)
	leaving.terminate()
}
