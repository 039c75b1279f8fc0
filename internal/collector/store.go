package collector

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/pkg/journaler"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// saveInterval is the least time between two writes.
const saveInterval = 500 * time.Millisecond

// Store keeps the evidence of a Table and the key of identities on disk, so that they outlast the
// loss of all processes at once. Request limits are not kept: responses name them again.
type Store struct {
	table *Table
	file  *journaler.File
	log   *zap.Logger
}

// NewStore returns a store of a table in a file.
func NewStore(table *Table, file *journaler.File, log *zap.Logger) *Store {
	return &Store{table: table, file: file, log: log}
}

// Load adds the evidence in the file to the table. A file that cannot be read is ignored: the
// process works without it, and other processes may have the evidence.
func (s *Store) Load(now time.Time) {
	e := &wire.Evidence{}
	found, err := s.file.Read(e)
	if err != nil {
		s.log.Warn("the saved evidence cannot be read", zap.Error(err))
		return
	}
	if !found {
		return
	}
	s.table.Merge(now, e)
	s.log.Info("read the saved evidence", zap.Int("parts", len(e.GetParts())), zap.Int("runs", len(e.GetRuns())))
}

// Run saves the evidence whenever it has changed, until ctx is done. What cannot be written is
// written later.
func (s *Store) Run(ctx context.Context) error {
	saved, failing := Position(0), false
	for ctx.Err() == nil {
		e, position, updated := s.table.lasting()
		if position != saved {
			err := s.file.Replace(e)
			if err == nil {
				saved = position
			} else if !failing {
				s.log.Warn("the evidence cannot be saved; retrying", zap.Error(err))
			}
			failing = err != nil
		}
		if !failing {
			select {
			case <-ctx.Done():
			case <-updated:
			}
		}
		timer.Sleep(ctx, saveInterval)
	}
	return nil
}

// lasting returns what a Store keeps, its position, and a channel that is closed at the next change.
func (t *Table) lasting() (*wire.Evidence, Position, <-chan struct{}) {
	e, position, updated := t.Since(0)
	e.Limits = nil
	return e, position &^ (countMask << limitShift), updated
}
