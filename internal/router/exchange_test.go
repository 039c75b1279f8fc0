package router

import (
	"errors"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/comfreybend/comfreybend/internal/retirer"
	"github.com/comfreybend/comfreybend/internal/translator"
)

// TestFailureTellsItsExchange guards against failures whose causes cannot be told apart from the log: a
// broken new or reused connection, and answers that name no request or another one.
func TestFailureTellsItsExchange(t *testing.T) {
	tests := map[string]struct {
		kept, single bool
		carried      int
		echoed       translator.AttemptID
		answered     bool
		connection   string
		answer       answerID
	}{
		"no connection":                    {connection: "none"},
		"a connection that is not kept":    {single: true, answered: true, echoed: "own", connection: "new", answer: answerIDOwn},
		"a new connection, no answer":      {kept: true, connection: "new"},
		"a used connection, no answer":     {kept: true, carried: 2, connection: "reused"},
		"a foreign answer":                 {kept: true, carried: 1, answered: true, echoed: "other", connection: "reused", answer: answerIDForeign},
		"an answer that names no requests": {kept: true, carried: 1, answered: true, connection: "reused", answer: answerIDMissing},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			at := &attempt{id: "own"}
			if test.kept {
				conn := &retirer.Conn{}
				for range test.carried {
					retirer.Begin(conn, "earlier", nil)
				}
				at.exchange.Store(retirer.Begin(conn, "own", nil))
			}
			at.connected.Store(test.single)
			if test.answered {
				at.answerID = compareID(at.id, test.echoed)
			}
			encoder := zapcore.NewMapObjectEncoder()
			exchangeField(at.failure(attemptError{Cause: errors.New("broke")})).AddTo(encoder)
			got, _ := encoder.Fields["exchange"].(map[string]any)
			if got["connection"] != test.connection || got["before"] != int64(test.carried) || got["answerId"] != string(test.answer) {
				t.Errorf("logged %v, want connection %s after %d exchanges and answer %q", got, test.connection, test.carried, test.answer)
			}
		})
	}
	if exchangeField(errors.New("other")) != zap.Skip() {
		t.Error("an error that is no failure of an attempt has an exchange")
	}
}
