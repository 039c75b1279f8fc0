package assembler

import "time"

// Meter tells a slow link, over which something comes, from a slow process, which sends nothing. It is not
// safe for concurrent use.
type Meter struct {
	received func() int64
	at       time.Duration
	bytes    int64
}

// NewMeter returns a meter of what comes from a process from now on. received returns the bytes so far.
func NewMeter(now time.Duration, received func() int64) *Meter {
	return &Meter{received: received, at: now, bytes: received()}
}

// Progresses reports whether, since the last call, as much has come as lets one of the smallest
// parts come within its timeout.
func (m *Meter) Progresses(now time.Duration) bool {
	bytes := m.received()
	progresses := (bytes-m.bytes)*int64(PartTimeout) >= minPartBytes*int64(now-m.at)
	m.at, m.bytes = now, bytes
	return progresses
}

// Age returns the time since the last call of Progresses.
func (m *Meter) Age(now time.Duration) time.Duration { return now - m.at }
