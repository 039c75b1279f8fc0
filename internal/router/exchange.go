package router

import (
	"net/http/httptrace"

	"github.com/comfreybend/comfreybend/internal/retirer"
)

// beginExchange records that the request is about to be written to a connection. If a part of it may
// have left on another one, the attempt ends: a repeat is counted and may be denied.
func (at *attempt) beginExchange(info httptrace.GotConnInfo) {
	exchange := retirer.Begin(info.Conn, retirer.RequestID(at.id), at.exchange.Load())
	at.exchange.Store(exchange)
	if err := exchange.ResendError(); err != nil {
		at.cancel(err)
	}
	if !exchange.Blocked() {
		at.connected.Store(true)
	}
}
