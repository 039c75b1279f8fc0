//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	markerStreams = 10
	markerEvents  = 20
	// markerAt is the number of the piece whose text is that of an end marker of another interface.
	markerAt = 7
)

func init() { cases["marker"] = playMarker }

// playMarker has a replica write a piece whose text is `[DONE]` in the middle of its streams.
func playMarker(r *record, binary string, trouble bool) (int, error) {
	s, err := newSystem(binary, r, 2, 3)
	if err != nil {
		return failed, err
	}
	defer s.close()
	if err = s.configure(config(7)); err != nil {
		return failed, err
	}
	text := func(n int) string {
		if trouble && n == markerAt {
			return "[DONE]"
		}
		return fmt.Sprintf("piece %d", n)
	}
	for n := range 2 {
		p := s.newReplica(n, pool, 64)
		p.serve = func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			id := q.Header.Get("X-Comfreybend-Attempt-Id")
			w.Header().Set("Content-Type", "text/event-stream")
			control := http.NewResponseController(w)
			for k := 1; k <= markerEvents; k++ {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", k, text(k)); err != nil || control.Flush() != nil {
					r.add("%s: the channel of %s was closed before event %d", p.id, id, k)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
			r.add("%s: %s was run to its end, %d events", p.id, id, markerEvents)
		}
		if err = p.start("v1"); err != nil {
			return failed, err
		}
		if err = p.awaitKnown(); err != nil {
			return failed, err
		}
	}
	if err = s.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	cut := 0
	for n := range markerStreams {
		entries := s.of("entry")
		a := s.ask(context.Background(), entries[n%len(entries)], "POST", "/lohu930/2f", nil, "prompt", 12*time.Second)
		events := strings.Count(a.body, "data: ")
		r.add("stream %s: status %d, %d events of %d, error %v", a.id, a.status, events, markerEvents, a.err)
		if a.status == http.StatusOK && a.err == nil && events < markerEvents {
			cut++
		}
	}
	fmt.Printf("%d of %d streams ended as complete before their last event\n", cut, markerStreams)
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}
