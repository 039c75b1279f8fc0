package router

import (
	"net"
	"net/http/httptrace"

	"github.com/pkg/errors"

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
	at.connected.Store(exchange == nil)
}

// mayHaveArrived reports that a part of the request may have left.
func (at *attempt) mayHaveArrived() bool { return at.connected.Load() || at.exchange.Load().Written() }

// isUnsent reports that the attempt got a connection that was kept, and nothing was written to it.
func (at *attempt) isUnsent(err error) bool {
	var failure *net.OpError
	exchange := at.exchange.Load()
	return exchange != nil && !exchange.Written() && (!errors.As(err, &failure) || failure.Op != "dial")
}
