package journaler_test

import (
	"fmt"
	"os"

	"github.com/comfreybend/comfreybend/pkg/journaler"
	"github.com/comfreybend/comfreybend/schema/replication"
)

func ExampleOpen() {
	folder, err := os.MkdirTemp("", "journal-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()

	j, _, err := journaler.Open(folder, "host-1", journaler.OSDisk())
	if err != nil {
		panic(err)
	}
	record := &replication.Record{Entries: []*replication.Entry{{Index: 1, Term: 1, Data: []byte("command")}}}
	if err = j.Append(record); err != nil {
		panic(err)
	}
	if err = j.Close(); err != nil {
		panic(err)
	}

	_, recovered, err := journaler.Open(folder, "host-1", journaler.OSDisk())
	if err != nil {
		panic(err)
	}
	fmt.Println(string(recovered.Entries[0].GetData()))
	// Output: command
}
