//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxFDs = 4100
	// heldBytes is the size of the bodies, which does not take a machine beyond its memory.
	heldBytes = 30000
	// cutAfter is the time from the beginning of a crowd until the other machines are cut off from all replicas, for cutTime.
	cutAfter   = 2500 * time.Millisecond
	cutTime    = 6 * time.Second
	heldEvents = 6
	playTime   = 14 * time.Second
	heldFirst  = 7500 * time.Millisecond
	maxLost    = 3
	cutPrefix  = "7c00"
	ownRate    = 20
	sniffTime  = 60 * time.Millisecond
	sniffBytes = 1 << 10
)

type (
	// cutListener accepts connections as a gateway that has lost the way from some edge machines: those on which such a machine
	// sends a request, and bare ones, are reset.
	cutListener struct {
		net.Listener
		cut      func() bool
		accepted chan net.Conn
	}

	// sniffedConn is a connection of which the first bytes have been read.
	sniffedConn struct {
		net.Conn
		first []byte
	}
)

func newCutListener(l net.Listener, cut func() bool) *cutListener {
	c := &cutListener{Listener: l, cut: cut, accepted: make(chan net.Conn)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				close(c.accepted)
				return
			}
			go c.sniff(conn)
		}
	}()
	return c
}

// sniff passes a connection on, unless it is one of the machine that is cut off.
func (c *cutListener) sniff(conn net.Conn) {
	if !c.cut() {
		c.accepted <- conn
		return
	}
	first := make([]byte, sniffBytes)
	_ = conn.SetReadDeadline(time.Now().Add(sniffTime))
	n, err := conn.Read(first)
	if err != nil || bytes.Contains(first[:n], []byte("X-Comfreybend-Attempt-Id: "+cutPrefix)) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	c.accepted <- &sniffedConn{Conn: conn, first: first[:n]}
}

func (c *cutListener) Accept() (net.Conn, error) {
	conn, ok := <-c.accepted
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (c *sniffedConn) Read(data []byte) (int, error) {
	if len(c.first) > 0 {
		n := copy(data, c.first)
		c.first = c.first[n:]
		return n, nil
	}
	return c.Conn.Read(data)
}

// descriptors returns the number of open descriptors of a process.
func (h *host) descriptors() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil {
		return 0
	}
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.command.Process.Pid))
	return len(open)
}

// limitDescriptors sets the limit that the platform sets for a process.
func (h *host) limitDescriptors() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return unix.Prlimit(h.command.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: maxFDs, Max: maxFDs}, nil)
}

func init() { cases["descriptors"] = playDescriptors }

// playDescriptors has requesters send many requests with bodies at once to an edge machine, while the others are cut off from
// all replicas and pass their requests on.
func playDescriptors(r *record, binary string, trouble bool) (int, error) {
	s, err := newSystem(binary, r, 4, 3)
	if err != nil {
		return failed, err
	}
	defer s.close()
	if err = s.configure(config(7)); err != nil {
		return failed, err
	}
	var (
		mu        sync.Mutex
		cut       atomic.Bool
		ran       = map[string]bool{}
		abandoned []string
		results   = map[int]int{}
	)
	for n := range bodyReplicas {
		p := s.newReplica(n, pool, bodySlots)
		p.work, p.events, p.first = crowdGap, heldEvents, heldFirst
		p.wrap = func(l net.Listener) net.Listener { return newCutListener(l, cut.Load) }
		p.refuses = func(id string) bool { return cut.Load() && strings.HasPrefix(id, cutPrefix) }
		p.begun = func(id string) {
			mu.Lock()
			defer mu.Unlock()
			ran[id] = true
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
	crowded, others := s.of("entry")[0], s.of("entry")[1:]
	if err = crowded.limitDescriptors(); err != nil {
		return failed, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	var playing sync.WaitGroup
	playing.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			playing.Go(func() {
				a := s.askAs(context.Background(), fmt.Sprintf("%s%012x", cutPrefix, n), others[n%len(others)], "POST", "/lohu930/2f", nil, "prompt", crowdLimit)
				mu.Lock()
				defer mu.Unlock()
				results[a.status]++
			})
			time.Sleep(time.Second / ownRate)
		}
	})
	playing.Go(func() {
		most := 0
		for ctx.Err() == nil {
			most = max(most, crowded.descriptors())
			time.Sleep(100 * time.Millisecond)
		}
		r.add("%s: %d descriptors at the most, of %d", crowded.name, most, maxFDs)
	})
	if trouble {
		playing.Go(func() {
			crowdResults := s.crowd(crowded, heldBytes, func(id string, after time.Duration) {
				r.add("request %s: the channel ended after %v without an answer", id, after)
				mu.Lock()
				defer mu.Unlock()
				if after < crowdLimit {
					abandoned = append(abandoned, id)
				}
			})
			r.add("%s: %d requests with %d bytes each: %v", crowded.name, crowdConns, heldBytes, crowdResults)
		})
		time.Sleep(cutAfter)
		r.add("the other machines are cut off from all replicas")
		cut.Store(true)
		time.Sleep(cutTime)
		cut.Store(false)
		r.add("the cut has ended")
	}
	playing.Wait()
	lost := 0
	for _, id := range abandoned {
		if ran[id] {
			lost++
		}
	}
	r.add("requests at the other machines by status: %v", results)
	r.add("%s: the process ended by itself %d times; %d requests that a replica was running ended without an answer", crowded.name, crowded.ends, lost)
	fmt.Printf("%s: the process ended by itself %d times; %d requests that a replica was running ended without an answer (allowed: %d)\n", crowded.name, crowded.ends, lost, maxLost)
	if lost > maxLost {
		return broken, nil
	}
	return held, nil
}
