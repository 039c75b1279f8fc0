package tabulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
)

// BenchmarkPolls measures what one change of an upstream costs a control process with the polls of its
// entry processes: 50 hosts that poll it and another one.
func BenchmarkPolls(b *testing.B) {
	const polls = 100
	for _, upstreams := range []int{300, 3000, 12_000} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			table := New(time.Minute)
			update := func(i int, incarnation registrar.Incarnation) {
				u := announcement(fmt.Sprint("engine-", i), incarnation, registrar.Serving)
				u.AnnouncedAt = timer.Now()
				table.Update(u, true)
			}
			for i := range upstreams {
				update(i, 1)
			}
			position := uint64(table.changes.Position())
			b.ResetTimer()
			for i := range b.N {
				update(i%upstreams, registrar.Incarnation(2+i))
				for range polls {
					table.ChangesSince(Reader{Table: table.tableID, Position: position})
					table.Places()
				}
				position = uint64(table.changes.Position())
			}
		})
	}
}
