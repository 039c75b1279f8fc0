// Package lister keeps in a control process what entry processes say of themselves, for those that
// pass requests on. It is kept in memory only: the entry processes say it again with each poll.
package lister

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// statementTimeout is the age from which what an entry process has said is dropped.
	statementTimeout = 5 * time.Second
	// maxHosts bounds the number of entry processes in the list.
	maxHosts = 1024
	// maxNameBytes bounds the length of a host, a failure domain and an address.
	maxNameBytes = 256
)

type (
	// Lister holds the latest statement of each entry process. It is safe for concurrent use.
	Lister struct {
		mu         sync.Mutex
		statements map[string]statement
	}

	// InvalidError reports a statement that is not used.
	InvalidError struct {
		// Host is the host that made it.
		Host   string
		Reason string
	}

	statement struct {
		host *wire.EntryHost
		at   time.Duration
	}
)

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("statement of entry host %.*q: %s", maxNameBytes, e.Host, e.Reason)
}

// New returns a lister without statements.
func New() *Lister {
	return &Lister{statements: map[string]statement{}}
}

// Record records what the entry process of a host says of itself, nothing if s is nil, as in the
// messages of an earlier software version. It returns an *InvalidError if s cannot be used.
func (l *Lister) Record(now time.Duration, host string, s *wire.EntryHost) error {
	if s == nil {
		return nil
	}
	if err := validate(host, s); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.statements[host]; !known && len(l.statements) >= maxHosts {
		l.dropOld(now)
		if len(l.statements) >= maxHosts {
			return &InvalidError{Host: host, Reason: fmt.Sprintf("%d entry hosts are listed already", maxHosts)}
		}
	}
	// A copy: the fields of the received message that are unknown here are left behind.
	l.statements[host] = statement{at: now, host: &wire.EntryHost{
		Host: host, FailureDomain: s.GetFailureDomain(), Address: s.GetAddress(), CutOff: s.GetCutOff(), Requests: s.GetRequests(),
	}}
	return nil
}

// validate checks a statement of the entry process of a host.
func validate(host string, s *wire.EntryHost) error {
	if host == "" || s.GetHost() != host {
		return &InvalidError{Host: host, Reason: fmt.Sprintf("it names the host %.*q", maxNameBytes, s.GetHost())}
	}
	if max(len(host), len(s.GetFailureDomain()), len(s.GetAddress())) > maxNameBytes {
		return &InvalidError{Host: host, Reason: fmt.Sprintf("a field is longer than %d bytes", maxNameBytes)}
	}
	if s.GetRequests() < 0 {
		return &InvalidError{Host: host, Reason: fmt.Sprintf("%d requests in progress", s.GetRequests())}
	}
	if _, port, err := net.SplitHostPort(s.GetAddress()); err != nil || port == "" {
		return &InvalidError{Host: host, Reason: fmt.Sprintf("address %q is not of the form host:port", s.GetAddress())}
	}
	return nil
}

// Hosts returns the entry processes that have said something of themselves within five seconds,
// with the age of it, ordered by host.
func (l *Lister) Hosts(now time.Duration) *wire.EntryHostsReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropOld(now)
	reply := &wire.EntryHostsReply{Hosts: make([]*wire.EntryHost, 0, len(l.statements))}
	for _, s := range l.statements {
		host := proto.CloneOf(s.host)
		host.AgeMillis = (now - s.at).Milliseconds()
		reply.Hosts = append(reply.Hosts, host)
	}
	slices.SortFunc(reply.GetHosts(), func(a, b *wire.EntryHost) int { return cmp.Compare(a.GetHost(), b.GetHost()) })
	return reply
}

// dropOld drops what was said too long ago. The mutex must be held.
func (l *Lister) dropOld(now time.Duration) {
	for host, s := range l.statements {
		if now-s.at > statementTimeout {
			delete(l.statements, host)
		}
	}
}
