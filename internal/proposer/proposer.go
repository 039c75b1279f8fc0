// Package proposer commits commands of an entry process through the control processes.
package proposer

import (
	"context"
	"time"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// Timeout bounds a proposal, with the attempts through all control processes.
	Timeout = 4 * time.Second
	// LeaderWait is the time for which a proposal waits for a leader, longer than the election that
	// follows the planned stop of one.
	LeaderWait     = 1500 * time.Millisecond
	leaderPause    = 50 * time.Millisecond
	attemptTimeout = time.Second
)

// Proposer commits commands. It is safe for concurrent use.
type Proposer struct {
	// clients returns the control processes in order of preference.
	clients func() []*messenger.Client
}

// New returns a proposer. clients returns the control processes in order of preference.
func New(clients func() []*messenger.Client) *Proposer { return &Proposer{clients: clients} }

// Propose commits a command through the first control process that replies. If
// one fails, the command is sent to the next although it may have been
// committed, so commands must be idempotent. All are tried again while there is no leader, for
// LeaderWait at most.
func (p *Proposer) Propose(ctx context.Context, command *state.Command) (*wire.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	var lastErr error
	for end := timer.Now() + LeaderWait; ; timer.Sleep(ctx, leaderPause) {
		for _, client := range p.clients() {
			reply, err := proposeThrough(ctx, client, command)
			if err == nil {
				return reply, nil
			}
			lastErr = err
			if ctx.Err() != nil {
				return nil, lastErr
			}
		}
		if timer.Now() >= end {
			return nil, lastErr
		}
	}
}

// proposeThrough proposes a command to one control process.
func proposeThrough(ctx context.Context, c *messenger.Client, command *state.Command) (*wire.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	reply, err := c.Call(ctx, &wire.Request{Kind: &wire.Request_Propose{Propose: command}})
	if err != nil {
		return nil, err
	}
	return reply.GetPropose(), nil
}
