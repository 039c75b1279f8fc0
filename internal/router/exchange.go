package router

import (
	"fmt"
	"net"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/retirer"
	"github.com/comfreybend/comfreybend/internal/translator"
)

type (
	// answerID is how the id that an answer bears compares with that of the attempt.
	answerID string

	// attemptMismatchError reports a response with the id of another attempt.
	attemptMismatchError struct {
		EchoedAttempt string
	}

	// unnamedRefusalError reports a refusal that names no request, on a connection that has carried
	// others. It may be an answer too many, so the request may have run.
	unnamedRefusalError struct {
		Status int
	}
)

// foreignAnswerTime is the time for which an upstream that has sent an answer to another request gets each
// request on a connection of its own, on which no such answer can come.
const foreignAnswerTime = 10 * time.Second

const (
	answerIDOwn     answerID = "own"
	answerIDForeign answerID = "foreign"
	answerIDMissing answerID = "missing"
)

// Error implements error.
func (e *attemptMismatchError) Error() string {
	return "answer carries the attempt id " + e.EchoedAttempt
}

// Error implements error.
func (e *unnamedRefusalError) Error() string {
	return fmt.Sprintf("a refusal with status %d on a used connection does not name its request", e.Status)
}

func compareID(own, echoed translator.AttemptID) answerID {
	switch echoed {
	case "":
		return answerIDMissing
	case own:
		return answerIDOwn
	default:
		return answerIDForeign
	}
}

// beginExchange records that the request is about to be written to a connection. If a part of it may
// have left on another one, the attempt ends: a repeat is counted and may be denied.
func (at *attempt) beginExchange(info httptrace.GotConnInfo) {
	exchange := retirer.Begin(info.Conn, retirer.RequestID(at.id), at.exchange.Load())
	at.exchange.Store(exchange)
	if err := exchange.ResendError(); err != nil {
		at.cancel(err)
	}
	at.connected.Store(exchange == nil)
	at.fresh.Store(!info.Reused)
}

// mayHaveArrived reports that a part of the request may have left.
func (at *attempt) mayHaveArrived() bool { return at.connected.Load() || at.exchange.Load().Written() }

// isUnsent reports that the attempt got a connection that was kept, and nothing was written to it.
func (at *attempt) isUnsent(err error) bool {
	var failure *net.OpError
	exchange := at.exchange.Load()
	return exchange != nil && !exchange.Written() && (!errors.As(err, &failure) || failure.Op != "dial")
}

// mixesAnswers reports that the upstream has lately sent an answer to another request.
func (u *upstreamClient) mixesAnswers(g *grant) bool {
	at := time.Duration(g.state.foreignAnswerAt.Load())
	return at != 0 && u.now()-at < foreignAnswerTime
}

// isNamed reports that the answer is to this attempt: it bears its id, or nothing else was sent on the
// connection before.
func (at *attempt) isNamed() bool {
	return at.answerID == answerIDOwn || at.exchange.Load().Before() == 0
}

// failure completes the error of a failed attempt.
func (at *attempt) failure(e attemptError) error {
	e.Attempt, e.answer, e.carried = at.id, at.answerID, -1
	if exchange := at.exchange.Load(); exchange != nil || at.connected.Load() {
		e.carried = exchange.Before()
	}
	return &e
}

// exchangeField returns the log field that says how many exchanges the connection of a failed attempt
// had carried before, and whose id the answer bore.
func exchangeField(err error) zap.Field {
	var failure *attemptError
	if !errors.As(err, &failure) {
		return zap.Skip()
	}
	connection := "none"
	switch {
	case failure.carried == 0:
		connection = "new"
	case failure.carried > 0:
		connection = "reused"
	}
	return zap.Dict("exchange", zap.String("connection", connection), zap.Int("before", max(0, failure.carried)), zap.String("answerId", string(failure.answer)))
}
