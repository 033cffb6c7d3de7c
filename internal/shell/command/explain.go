package command

import (
	"fmt"
	"net/url"
	"strings"
	"text/tabwriter"

	"rosemarylb/internal/traffic/explanation"

	"github.com/cockroachdb/errors"
)

type explainCommand struct {
	*environment

	Address  string `long:"address" env:"ROSEMARYLB_METRICS_ADDRESS" required:"true" description:"host:port of metrics and dumps of an instance on the users' platform"`
	Database string `long:"database" env:"ROSEMARYLB_DATABASE" required:"true" description:"database name that the caller connects to"`
	Team     string `long:"team" env:"ROSEMARYLB_TEAM" description:"the caller's team"`
	Kind     string `long:"kind" env:"ROSEMARYLB_KIND" default:"read" choice:"read" choice:"write" choice:"begin" choice:"begin-read" description:"kind of the request"`
	Floor    string `long:"floor" env:"ROSEMARYLB_FLOOR" description:"least log position that a read has to see, as term.lsn"`
	JSON     bool   `long:"json" env:"ROSEMARYLB_JSON" description:"print the result as JSON"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if _, err := explanation.ParseFloor(c.Floor); err != nil {
		return usageError(err)
	}
	parameters := url.Values{
		"database": {c.Database},
		"team":     {c.Team},
		"kind":     {c.Kind},
		"floor":    {c.Floor},
	}
	var e explanation.Explanation
	if err := getJSON(c.Address, "/explain?"+parameters.Encode(), &e); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(c.environment, e)
	}
	if _, err := fmt.Fprintln(c.out, decisionText(e.Decision)); err != nil {
		return errors.Wrap(err, "print")
	}
	return c.printCandidates(e.Candidates)
}

// decisionText returns a decision as a sentence.
func decisionText(d explanation.Decision) string {
	switch d.Outcome {
	case explanation.OutcomeGoes:
		return "goes to endpoint " + d.Endpoint + " on " + connectionText(d)
	case explanation.OutcomeWaits:
		return fmt.Sprintf("waits for at most %d ms for %s, then refused with %s", d.WaitsAtMostMillis, d.Reason, d.Code)
	default:
		text := "refused with " + d.Code + ": " + d.Reason
		if d.RetryAfterMillis > 0 {
			text += fmt.Sprintf("; come back in %d ms", d.RetryAfterMillis)
		}
		return text
	}
}

func connectionText(d explanation.Decision) string {
	text := map[explanation.Connection]string{
		explanation.ConnectionOpen:   "an open",
		explanation.ConnectionShared: "a shared",
		explanation.ConnectionNew:    "a new",
	}[d.Connection]
	if d.Via == "" {
		return text + " direct connection"
	}
	return text + " connection through owner " + d.Via
}

// printCandidates prints the endpoints as a table.
func (c *explainCommand) printCandidates(candidates []explanation.Candidate) error {
	if len(candidates) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	rows := []string{"ENDPOINT\tROLE\tDOMAIN\tREGION\tCOST-MS\tSERVES\tCONNECTION\tREASON\tOWNERS"}
	for _, e := range candidates {
		serves := "no"
		if e.Serves {
			serves = "yes"
		}
		rows = append(rows, strings.Join([]string{
			e.Endpoint, e.Role, e.Domain, e.Region, fmt.Sprintf("%.1f", e.CostMillis), serves,
			candidateConnection(e), orDash(e.Reason), orDash(strings.Join(e.Owners, ",")),
		}, "\t"))
	}
	if _, err := fmt.Fprintln(w, strings.Join(rows, "\n")); err != nil {
		return errors.Wrap(err, "print")
	}
	return errors.Wrap(w.Flush(), "print")
}

// candidateConnection returns the connection to a candidate, a dash if there is none.
func candidateConnection(e explanation.Candidate) string {
	if e.Via == "" {
		return orDash(string(e.Connection))
	}
	return string(e.Connection) + " via " + e.Via
}

// orDash returns a text, or a dash in place of an empty one.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
