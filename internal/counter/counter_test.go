package counter

import "fmt"

func ExampleCounters() {
	c := New()
	c.Add("acme", "chat", 10, 3)
	c.Add("acme", "chat", 5, 1)
	for _, u := range c.Snapshot("host-1", "run-1", false).GetCounters() {
		fmt.Println(u.GetOrganisation(), u.GetClass(), u.GetCalls(), u.GetTokensIn(), u.GetTokensOut())
	}
	// Output: acme chat 2 15 4
}
