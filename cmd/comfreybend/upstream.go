package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/comfreybend/comfreybend/schema/wire"
)

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		parent := app.Command("upstream", "Look at the upstreams.")
		c := parent.Command("list", "List the upstreams that have announced themselves.")
		f := &operatorFlags{}
		f.addTo(c)
		actions[c.FullCommand()] = func(ctx context.Context) error { return listUpstreams(ctx, f) }
	})
}

func listUpstreams(ctx context.Context, f *operatorFlags) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	reply, err := client.Read(ctx, "upstreams")
	if err != nil {
		return err
	}
	if f.output == "json" {
		return printMessage(reply)
	}
	profiles := map[string]*wire.UpstreamProfile{}
	for _, p := range reply.GetProfiles() {
		profiles[p.GetUpstream()] = p
	}
	var rows []string
	for _, u := range reply.GetUpstreams() {
		speed, failing := profileColumns(u, profiles[u.GetId()])
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%t\t%d/%d\t%d\t%s\t%s", u.GetId(), u.GetFailureDomain(),
			u.GetKind(), strings.Join(u.GetServes(), ","), u.GetState(), u.GetPreemptible(),
			u.GetLoad().GetRunning(), u.GetLoad().GetSlots(), u.GetLoad().GetWaiting(), speed, failing))
	}
	printTable("ID\tDOMAIN\tKIND\tSERVES\tSTATE\tPREEMPTIBLE\tRUNNING\tWAITING\tSPEED\tFAILING", rows)
	return nil
}

// profileColumns returns the speed relative to the pool and the percentage of attempts by which an
// upstream fails more than it, "-" where they are not known to differ.
func profileColumns(u *wire.Upstream, p *wire.UpstreamProfile) (speed, failing string) {
	speed, failing = "-", "-"
	if p.GetIncarnation() != u.GetIncarnation() {
		return speed, failing
	}
	if p.GetSpeedPermille() > 0 {
		speed = fmt.Sprintf("%.2f", float64(p.GetSpeedPermille())/1000)
	}
	if p.GetExcessPermille() > 0 {
		failing = fmt.Sprintf("%d%%", p.GetExcessPermille()/10)
	}
	return speed, failing
}
