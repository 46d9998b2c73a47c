package cmds

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pistachiotack/pistachiotack/internal/gossip"
)

// StatusCommand shows the fleet as one node sees it.
type StatusCommand struct {
	Node    string `help:"Operators' address of any node." placeholder:"IP:PORT" required:"" env:"PISTACHIOTACK_NODE"`
	Members bool   `help:"List every member."`
	JSON    bool   `help:"Print JSON." name:"json"`
}

// Run asks the node and prints its answer.
func (c StatusCommand) Run(env Env) error {
	var status gossip.Status
	body, err := page{method: http.MethodGet, path: gossip.PathStatus}.ask(env.Context, c.Node, &status)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = fmt.Fprintf(env.Out, "%s\n", body)

		return err
	}
	printFleet(env.Out, status)
	if c.Members {
		printMembers(env.Out, status.Members)
	}

	return nil
}

func printFleet(out io.Writer, s gossip.Status) {
	fmt.Fprintf(out, "node %s (%s, %s) %s, up %s, incarnation %d, revision %d\n",
		s.Node, s.DataCentre, s.Service, s.State, s.Up, s.Incarnation, s.Revision)
	for _, dataCentre := range s.DataCentres {
		var counts []string
		for _, state := range dataCentre.States {
			counts = append(counts, fmt.Sprintf("%d %s", state.Count, state.State))
		}
		fmt.Fprintf(out, "  %-12s %s\n", dataCentre.Name, strings.Join(counts, ", "))
	}
	if s.Trial != "" {
		fmt.Fprintf(out, "trial: %s\n", s.Trial)
	}
	if len(s.Degraded) == 0 {
		fmt.Fprintln(out, "nothing degraded")
	}
	for _, problem := range s.Degraded {
		fmt.Fprintf(out, "degraded: %s\n", problem)
	}
}

func printMembers(out io.Writer, members []gossip.MemberStatus) {
	for _, m := range members {
		fmt.Fprintf(out, "%-28s %-12s %-14s %-9s revision %d\n", m.ID, m.DataCentre, m.Service, m.State, m.Revision)
	}
}
