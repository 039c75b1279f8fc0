package tracker

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/internal/versioner"
	"github.com/comfreybend/comfreybend/pkg/matcher"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// settlingTime is the time after the start of a control process in which entry processes tell it
	// of their streams again.
	settlingTime = 5 * time.Second
	// askingTime is the time for which control processes are asked again about a stream that none of
	// them knows while one may still be told of it, at askingInterval.
	askingTime     = time.Second
	askingInterval = 100 * time.Millisecond
	// readWhat names the versions in a read request.
	readWhat = "versions"
)

type (
	// Resolution is what was found out about a stream that a client takes up.
	Resolution struct {
		matcher.Answer
		Outcome matcher.Outcome
		// Versions are those that serve the pool or have lately, as Confirmed by a majority of the
		// control processes. They are not asked for if the stream is known.
		Versions  []registrar.Version
		Confirmed bool
		// Responses are those of the last time that control processes were asked.
		Responses Responses
		// Took is the time until the last answer.
		Took time.Duration
	}

	// Responses holds what each control process has answered when it was asked for a stream.
	Responses []Response

	// Response is the answer of one control process.
	Response struct {
		Control string
		// Known reports that it knows the stream.
		Known bool
		// Incarnation is that of the control process, zero if it does not say so, and Age the time
		// since its start.
		Incarnation uint64
		Age         time.Duration
		// Streams is the number of streams that it knows.
		Streams int64
		// Err is why it did not answer; nil if it did.
		Err error
	}
)

// Resolve decides at which upstreams of a pool a stream that a client takes up may go on. s is nil if
// the client does not say which stream it is. While the answer may still arrive at control processes that
// have just started, these are asked again for askingTime at most.
func (t *Tracker) Resolve(ctx context.Context, s *matcher.Stream, pool matcher.Pool) Resolution {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for began := timer.Now(); ; {
		r := Resolution{Answer: matcher.Answer{Complete: true}}
		if s != nil {
			r.Answer, r.Responses = t.find(ctx, *s)
		}
		if !r.Known {
			r.Versions, r.Confirmed = t.versions(ctx, pool)
		}
		r.Outcome, r.Origin = matcher.Decide(r.Answer, pool, r.Versions, r.Confirmed)
		r.Took = timer.Now() - began
		if r.Outcome != matcher.Later || !r.Recovering || r.Took >= askingTime || !timer.Sleep(ctx, askingInterval) {
			return r
		}
	}
}

// find asks for the origin of a stream. It returns as soon as one process knows it, with the responses
// until then.
func (t *Tracker) find(ctx context.Context, s matcher.Stream) (matcher.Answer, Responses) {
	t.mu.Lock()
	origin, known := t.own.Get(s)
	t.mu.Unlock()
	if known {
		return matcher.Answer{Origin: origin, Known: true}, nil
	}
	clients := t.All()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		control string
		reply   *wire.OriginsReply
		err     error
	}
	results := make(chan result, len(clients))
	for _, client := range clients {
		go func() {
			reply, err := t.call(ctx, client, &wire.Origins{Wanted: [][]byte{s[:]}})
			results <- result{control: client.Address(), reply: reply, err: err}
		}()
	}
	answer := matcher.Answer{Complete: len(clients) > 0}
	var responses Responses
	for range clients {
		r := <-results
		response := Response{
			Control: r.control, Known: len(r.reply.GetKnown()) > 0, Incarnation: r.reply.GetIncarnation(),
			Age: time.Duration(r.reply.GetAgeMillis()) * time.Millisecond, Streams: r.reply.GetStreams(), Err: r.err,
		}
		responses = append(responses, response)
		if response.Known {
			return matcher.Answer{Origin: versioner.OriginFromWire(r.reply.GetKnown()[0]), Known: true}, responses
		}
		// A process that does not know the request keeps no origins.
		answer.Complete = answer.Complete && !errors.As(r.err, new(*messenger.UnreachableError))
		answer.Recovering = answer.Recovering || response.Incarnation != 0 && response.Age < settlingTime
	}
	return answer, responses
}

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (r Responses) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, one := range r {
		if err := e.AppendObject(one); err != nil {
			return errors.Wrap(err, "encoding a response")
		}
	}
	return nil
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r Response) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("control", r.Control)
	if r.Err != nil {
		e.AddString("error", r.Err.Error())
		return nil
	}
	e.AddBool("known", r.Known)
	e.AddUint64("incarnation", r.Incarnation)
	e.AddInt64("streams", r.Streams)
	zap.Duration("age", r.Age).AddTo(e)
	return nil
}

// versions returns the versions that serve a pool or have lately, as confirmed by a majority of the
// control processes. The second result is false if none could be asked.
func (t *Tracker) versions(ctx context.Context, pool matcher.Pool) ([]registrar.Version, bool) {
	for _, client := range t.All() {
		reply, err := t.read(ctx, client)
		if err != nil {
			continue
		}
		var out []registrar.Version
		for _, v := range reply.GetRead().GetVersions() {
			if matcher.Pool(v.GetPool()) == pool {
				out = append(out, registrar.Version(v.GetVersion()))
			}
		}
		return out, true
	}
	return nil, false
}

func (t *Tracker) read(ctx context.Context, client *messenger.Client) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	return client.Call(ctx, &wire.Request{Kind: &wire.Request_Read{Read: &wire.Read{What: readWhat}}})
}
