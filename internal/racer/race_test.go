package racer

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const copyDelay = 50 * time.Millisecond

// script is how an attempt of a played race ends: after a time, or when it is cancelled.
type script struct {
	after  time.Duration
	result Result
}

// played is what became of a race.
type played struct {
	winner             Lane
	took               time.Duration
	settled, discarded []Lane
	cause              [none]error
	ends               [none]int
}

func playRace(ctx context.Context, lanes [none]script, copies bool) *played {
	var mu sync.Mutex
	p := &played{}
	started := time.Now()
	r := &Race{
		Delay: func() (time.Duration, bool) { return copyDelay, true },
		Copy:  func() bool { return copies },
		Send: func(ctx context.Context, lane Lane) Result {
			select {
			case <-time.After(lanes[lane].after):
				return lanes[lane].result
			case <-ctx.Done():
				mu.Lock()
				defer mu.Unlock()
				p.cause[lane] = context.Cause(ctx)
				return Cancelled
			}
		},
		Settle: func(lane Lane) { p.settled = append(p.settled, lane) },
		Discard: func(lane Lane) {
			mu.Lock()
			defer mu.Unlock()
			p.discarded = append(p.discarded, lane)
		},
		ErrorsUntil: started.Add(time.Second),
		OnEnd:       func(lane Lane, _ time.Duration, _ Result, _ bool) { p.ends[lane]++ },
	}
	p.winner = r.Run(ctx)
	p.took = time.Since(started)
	synctest.Wait()
	return p
}

// TestRace guards against a race that the wrong attempt wins, that waits for an attempt that has lost, that
// leaves one running, or that forgets one.
func TestRace(t *testing.T) {
	const ms, never = time.Millisecond, time.Hour
	tests := map[string]struct {
		lanes              [none]script
		noCopy             bool
		leavesAt           time.Duration
		winner             Lane
		took               time.Duration
		settled, discarded []Lane
	}{
		"the first responds in time":   {lanes: [none]script{{after: 40 * ms}}, winner: First, took: 40 * ms},
		"no copy is allowed":           {lanes: [none]script{{after: 90 * ms}}, noCopy: true, winner: First, took: 90 * ms},
		"the copy wins":                {lanes: [none]script{{after: never}, {after: 10 * ms}}, winner: Copy, took: 60 * ms, discarded: []Lane{First}},
		"the first wins":               {lanes: [none]script{{after: 60 * ms}, {after: never}}, winner: First, took: 60 * ms, discarded: []Lane{Copy}},
		"the first fails before":       {lanes: [none]script{{10 * ms, Failed}}, winner: First, took: 10 * ms},
		"the first fails afterwards":   {lanes: [none]script{{60 * ms, Failed}, {after: 30 * ms}}, winner: Copy, took: 80 * ms, settled: []Lane{First}},
		"the copy fails":               {lanes: [none]script{{after: 90 * ms}, {10 * ms, Failed}}, winner: First, took: 90 * ms, settled: []Lane{Copy}},
		"both fail, the copy last":     {lanes: [none]script{{60 * ms, Failed}, {30 * ms, Failed}}, winner: Copy, took: 80 * ms, settled: []Lane{First}},
		"an error does not win":        {lanes: [none]script{{after: 90 * ms}, {10 * ms, AnsweredError}}, winner: First, took: 90 * ms, discarded: []Lane{Copy}},
		"an error before the copy":     {lanes: [none]script{{10 * ms, AnsweredError}}, winner: First, took: 10 * ms},
		"an error and a failure":       {lanes: [none]script{{90 * ms, Failed}, {10 * ms, AnsweredError}}, winner: Copy, took: 90 * ms, settled: []Lane{First}},
		"two errors":                   {lanes: [none]script{{90 * ms, AnsweredError}, {10 * ms, AnsweredError}}, winner: Copy, took: 90 * ms, discarded: []Lane{First}},
		"an error is not kept forever": {lanes: [none]script{{after: never}, {10 * ms, AnsweredError}}, winner: Copy, took: time.Second, discarded: []Lane{First}},
		"the client leaves":            {lanes: [none]script{{after: never}, {after: never}}, leavesAt: 70 * ms, took: 70 * ms},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if test.leavesAt > 0 {
					time.AfterFunc(test.leavesAt, cancel)
				}
				p := playRace(ctx, test.lanes, !test.noCopy)
				if p.took != test.took {
					t.Errorf("took %v, want %v", p.took, test.took)
				}
				if test.leavesAt > 0 {
					if p.cause[First] == nil || p.cause[Copy] == nil {
						t.Errorf("causes %v, want that both are cancelled", p.cause)
					}
					return
				}
				if p.winner != test.winner || !equal(p.settled, test.settled) || !equal(p.discarded, test.discarded) {
					t.Errorf("winner %d, settled %v, discarded %v, want %d, %v, %v",
						p.winner, p.settled, p.discarded, test.winner, test.settled, test.discarded)
				}
				for lane, count := range p.ends {
					if count > 1 {
						t.Errorf("end of %d reported %d times", lane, count)
					}
				}
				for _, lane := range p.discarded {
					if test.lanes[lane].after == never && !errors.As(p.cause[lane], new(*LostError)) {
						t.Errorf("cause %v of the attempt that lost", p.cause[lane])
					}
				}
			})
		})
	}
}

func equal(a, b []Lane) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// TestBothRespondAtOnce guards against a response that is lost, or taken twice, if both arrive together.
func TestBothRespondAtOnce(t *testing.T) {
	for range 300 {
		synctest.Test(t, func(t *testing.T) {
			p := playRace(t.Context(), [none]script{{after: copyDelay + 10*time.Millisecond}, {after: 10 * time.Millisecond}}, true)
			if len(p.discarded) != 1 || p.discarded[0] == p.winner || len(p.settled) > 0 {
				t.Fatalf("winner %d, settled %v, discarded %v", p.winner, p.settled, p.discarded)
			}
		})
	}
}

// TestPanicReachesCaller guards against a panic on the goroutine of an attempt: it would end the process, not the call.
func TestPanicReachesCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		discarded := false
		defer func() {
			if reason := recover(); reason != "fault" {
				t.Errorf("recovered %v, want the panic of Send", reason)
			}
			synctest.Wait()
			if !discarded {
				t.Error("the other attempt goes on")
			}
		}()
		r := &Race{
			Delay: func() (time.Duration, bool) { return copyDelay, true },
			Copy:  func() bool { return true },
			Send: func(ctx context.Context, lane Lane) Result {
				if lane == Copy {
					panic("fault")
				}
				<-ctx.Done()
				return Cancelled
			},
			Discard: func(Lane) { discarded = true },
		}
		r.Run(t.Context())
	})
}

// pieces is a body that returns one piece at a time.
type pieces struct {
	pieces []string
	err    error
}

func (p *pieces) Close() error { return nil }

func (p *pieces) Read(to []byte) (int, error) {
	if len(p.pieces) == 0 {
		return 0, p.err
	}
	n := copy(to, p.pieces[0])
	p.pieces = p.pieces[1:]
	return n, nil
}

// TestAwaitEvent guards against a stream that counts as begun before its first event is whole, and against bytes
// that are lost or read too early.
func TestAwaitEvent(t *testing.T) {
	broken := errors.New("broken")
	tests := map[string]struct {
		pieces []string
		err    error
		// left is the number of pieces that are not read before the first event.
		left int
		want error
	}{
		"whole event":         {pieces: []string{"id: 1\ndata: a\n\n", "id: 2\n"}, err: io.EOF, left: 1},
		"event in pieces":     {pieces: []string{"id: 1\nda", "ta: a\n", "\nid: 2", "\n"}, err: io.EOF, left: 1},
		"carriage returns":    {pieces: []string{"data: a\r\n\r", "\n", "x"}, err: io.EOF, left: 1},
		"empty lines":         {pieces: []string{"\n\n", "data: a\n\n", "x"}, err: io.EOF, left: 1},
		"breaks before":       {pieces: []string{"id: 1\n"}, err: broken, want: broken},
		"ends before":         {err: io.EOF, want: io.EOF},
		"breaks afterwards":   {pieces: []string{"data: a\n\n"}, err: broken},
		"event without bound": {pieces: []string{strings.Repeat("x", readSize), strings.Repeat("x", readSize), strings.Repeat("x", readSize), strings.Repeat("x", readSize), "y"}, err: broken, left: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			source := &pieces{pieces: append([]string(nil), test.pieces...), err: test.err}
			body, err := AwaitEvent(source)
			if !errors.Is(err, test.want) || len(source.pieces) != test.left {
				t.Errorf("error %v, %d pieces left, want %v, %d", err, len(source.pieces), test.want, test.left)
			}
			all, err := io.ReadAll(body)
			if string(all) != strings.Join(test.pieces, "") || err != nil && !errors.Is(err, test.err) {
				t.Errorf("body %q with error %v", all, err)
			}
		})
	}
}
