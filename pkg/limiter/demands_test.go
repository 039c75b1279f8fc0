package limiter

import (
	"fmt"
	"time"
)

func ExampleDemands() {
	d := NewDemands(2)
	d.Record(0, "host-1", map[string]int{"model/m": 3})
	fmt.Println(d.Of(time.Second, "model/m"))
	fmt.Println(d.Of(time.Minute, "model/m"))
	// Output:
	// [{3 true} {0 false}]
	// [{0 false} {0 false}]
}
