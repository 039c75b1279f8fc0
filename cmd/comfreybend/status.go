package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		c := app.Command("status", "Show the leader, the members, the entry hosts and the revision in force.")
		f := &operatorFlags{}
		f.addTo(c)
		actions[c.FullCommand()] = func(ctx context.Context) error { return showStatus(ctx, f) }
	})
}

func showStatus(ctx context.Context, f *operatorFlags) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	reply, err := client.Read(ctx, "status")
	if err != nil {
		return err
	}
	if f.output == "json" {
		return printMessage(reply)
	}
	s := reply.GetStatus()
	fmt.Println("revision:", reply.GetRevision())
	fmt.Printf("leader: %s (term %d, commit %d)\n", s.GetLeaderHost(), s.GetTerm(), s.GetCommit())
	for _, m := range s.GetMembership().GetMembers() {
		role := "learner"
		if m.GetVoter() {
			role = "voter"
		}
		fmt.Printf("member: %s (%s, incarnation %d)\n", m.GetHost(), role, m.GetId())
	}
	if !s.GetMembershipCommitted() {
		fmt.Println("a membership change is in progress")
	}
	fmt.Println("entry hosts:", strings.Join(s.GetEntryHosts(), ", "))
	fmt.Println("usage windows not accepted yet:", s.GetWindowsUnsent())
	return nil
}
