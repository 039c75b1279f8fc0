package chooser_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/chooser"
)

const (
	silent  = time.Hour
	timeout = time.Second
	step    = time.Millisecond
)

var config = chooser.Config{Delay: 200 * time.Millisecond, MaxDelay: 2 * time.Second}

// fetch plays the fetch of parts over one link. delays holds the time of each source to reply,
// partTime the time that the link takes for a part; parts in transit share it. It returns the time that the
// fetch took and the number of parts that were asked for.
func fetch(delays []time.Duration, parts int, partTime time.Duration) (took time.Duration, requests int) {
	type transit struct {
		source            int
		readyAt, timedOut time.Duration
		left              time.Duration
	}
	var ids []int
	for i := range delays {
		ids = append(ids, i)
	}
	c := chooser.New(config, ids)
	now := time.Duration(0)
	for range parts {
		c.Begin()
		var underWay []*transit
		for done := false; !done && now < time.Minute; now += step {
			for id, ok := c.Next(now); ok; id, ok = c.Next(now) {
				requests++
				underWay = append(underWay, &transit{source: id, readyAt: now + delays[id], timedOut: now + timeout, left: partTime})
			}
			sharing := 0
			for _, p := range underWay {
				if now >= p.readyAt {
					sharing++
				}
			}
			var rest []*transit
			for _, p := range underWay {
				if now >= p.readyAt {
					p.left -= step / time.Duration(sharing)
				}
				switch {
				case p.left <= 0 && !done:
					c.Reply(now, p.source)
					done = true
				case now >= p.timedOut:
					c.Fail(now, p.source)
				default:
					rest = append(rest, p)
				}
			}
			underWay = rest
			if !done && c.Exhausted() {
				c.Begin()
			}
		}
	}
	return now, requests
}

// TestFetch guards against a content that comes late since one of its sources is slow or silent, and
// against copies that crowd a slow link.
func TestFetch(t *testing.T) {
	const (
		parts   = 10
		quick   = 5 * step
		inForce = 2500 * time.Millisecond
	)
	tests := map[string]struct {
		delays   []time.Duration
		partTime time.Duration
		// longest bounds the time, copies the requests beyond one for each part.
		longest time.Duration
		copies  int
	}{
		"all are quick":                 {delays: make([]time.Duration, 8), partTime: quick, longest: inForce},
		"the first one is silent":       {delays: []time.Duration{silent, 0, 0}, partTime: quick, longest: inForce, copies: 1},
		"three are silent":              {delays: []time.Duration{silent, silent, silent, 0}, partTime: quick, longest: inForce, copies: 3},
		"the first one is slow":         {delays: []time.Duration{800 * step, 0, 0}, partTime: quick, longest: inForce, copies: 1},
		"all but the last are slow":     {delays: []time.Duration{800 * step, 900 * step, 700 * step, 0}, partTime: quick, longest: inForce, copies: 4},
		"all are slow":                  {delays: []time.Duration{500 * step, 500 * step, 500 * step}, partTime: quick, longest: parts * 600 * step, copies: 3},
		"the link is slow":              {delays: make([]time.Duration, 8), partTime: 300 * step, longest: parts * 450 * step, copies: 3},
		"the link is very slow":         {delays: make([]time.Duration, 8), partTime: 600 * step, longest: parts * 900 * step, copies: 3},
		"one is silent on a slow link":  {delays: []time.Duration{silent, 0, 0, 0}, partTime: 300 * step, longest: parts * 450 * step, copies: 4},
		"the only one is slow":          {delays: []time.Duration{500 * step}, partTime: quick, longest: parts * 600 * step},
		"two of three are out of reach": {delays: []time.Duration{silent, silent, 500 * step}, partTime: quick, longest: parts * 600 * step, copies: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			took, requests := fetch(test.delays, parts, test.partTime)
			t.Logf("%v, %d requests", took, requests)
			if took > test.longest || requests > parts+test.copies {
				t.Errorf("the fetch took %v and %d requests, want at most %v and %d", took, requests, test.longest, parts+test.copies)
			}
		})
	}
}

// TestProgress guards against copies of what arrives over a slow link, and against waiting for a source that has
// stopped in the middle of a part.
func TestProgress(t *testing.T) {
	c := chooser.New(config, []string{"a", "b"})
	c.Begin()
	_, _ = c.Next(0)
	for now := time.Duration(0); now <= 5*config.Delay; now += config.Delay / 2 {
		if id, ok := c.Next(now); ok {
			t.Fatalf("%q is to be asked as well after %v", id, now)
		}
		c.Progress(now)
	}
	if _, ok := c.Next(6*config.Delay - step); ok {
		t.Error("another source is to be asked before the delay has passed since the latest progress")
	}
	if id, ok := c.Next(6 * config.Delay); !ok || id != "b" {
		t.Errorf("%q is to be asked (%t) without progress, want b", id, ok)
	}
}

// TestFail guards against waiting for the delay after a source has failed, and against asking one twice.
func TestFail(t *testing.T) {
	c := chooser.New(config, []string{"a", "b"})
	c.Begin()
	for _, want := range []string{"a", "b"} {
		id, ok := c.Next(time.Second)
		if !ok || id != want {
			t.Fatalf("%q is to be asked (%t), want %q", id, ok, want)
		}
		if _, ok = c.Next(time.Second); ok {
			t.Fatalf("another source is to be asked at once beside %q", id)
		}
		c.Fail(time.Second, id)
	}
	if id, ok := c.Next(2 * time.Second); ok || !c.Exhausted() {
		t.Errorf("%q is to be asked again (%t), exhausted %t; want exhausted", id, ok, c.Exhausted())
	}
	c.Fail(time.Second, "unknown")
	c.Reply(time.Second, "unknown")
}

func ExampleChooser() {
	c := chooser.New(chooser.Config{Delay: 200 * time.Millisecond, MaxDelay: time.Second}, []string{"near", "far"})
	c.Begin()
	source, _ := c.Next(0)
	_, copied := c.Next(100 * time.Millisecond)
	fmt.Println(source, copied)
	source, copied = c.Next(200 * time.Millisecond)
	fmt.Println(source, copied)
	c.Reply(210*time.Millisecond, "far")
	c.Begin()
	source, _ = c.Next(220 * time.Millisecond)
	fmt.Println(source)
	// Output:
	// near false
	// far true
	// far
}
