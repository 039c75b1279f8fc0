package queuer

import (
	"fmt"

	"github.com/comfreybend/comfreybend/schema/replication"
)

func ExampleQueue() {
	q := New()
	for index := range uint64(MaxMessages + 2) {
		q.Add(&replication.Message{LogIndex: index + 1})
	}
	<-q.Added
	messages := q.Take()
	fmt.Println(len(messages), messages[0].GetLogIndex(), len(q.Take()))
	// Output: 256 3 0
}
