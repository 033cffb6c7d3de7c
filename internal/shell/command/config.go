package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"rosemarylb"
	"rosemarylb/internal/fleet/site"
	"rosemarylb/internal/peer/operator"
	"rosemarylb/internal/peer/platform"

	"github.com/cockroachdb/errors"
)

// followInterval is the time between two looks at a rollout.
const followInterval = 200 * time.Millisecond

// files are the sources of a configuration.
type files struct {
	Base     string   `long:"base" env:"ROSEMARYLB_BASE" required:"true" description:"the base file"`
	Overlays []string `long:"overlay" env:"ROSEMARYLB_OVERLAY" env-delim:"," description:"an overlay file; may be repeated, later ones win"`
}

// document reads, merges and checks the files.
func (f files) document() (site.Document, rosemarylb.ServiceConfig, error) {
	var sources []site.File
	for _, name := range append([]string{f.Base}, f.Overlays...) {
		text, err := os.ReadFile(name)
		if err != nil {
			return site.Document{}, rosemarylb.ServiceConfig{}, usage(errors.Wrap(err, "configuration"))
		}
		sources = append(sources, site.File{
			Name: name,
			Text: text,
		})
	}
	d, err := site.NewDocument(sources...)
	if err != nil {
		return site.Document{}, rosemarylb.ServiceConfig{}, usage(err)
	}
	s, err := d.Service()
	if err != nil {
		return site.Document{}, rosemarylb.ServiceConfig{}, usage(err)
	}
	return d, s, nil
}

type checkCommand struct {
	*shell
	files
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	_, s, err := c.document()
	if err != nil {
		return err
	}
	endpoints := 0
	for _, d := range s.Databases {
		endpoints += len(d.Endpoints)
	}
	_, err = fmt.Fprintf(c.out, "ok: %d databases, %d endpoints, %d callers\n", len(s.Databases), endpoints,
		len(s.Callers))
	return errors.Wrap(err, "print")
}

type renderCommand struct {
	*shell
	files

	Origins bool `long:"origins" env:"ROSEMARYLB_ORIGINS" description:"show the file, line and column of each value"`
}

// Execute implements flags.Commander.
func (c *renderCommand) Execute([]string) error {
	d, _, err := c.document()
	if err != nil {
		return err
	}
	_, err = c.out.Write(d.Render(c.Origins))
	return errors.Wrap(err, "print")
}

type applyCommand struct {
	*shell
	files

	Platform string `long:"platform" env:"ROSEMARYLB_PLATFORM" required:"true" description:"base address of the platform's service"`
	Author   string `long:"author" env:"ROSEMARYLB_AUTHOR" description:"name recorded with the publication"`
	Seen     int64  `long:"seen" env:"ROSEMARYLB_SEEN" default:"-1" description:"revision that the change was made from; refused if another one stands"`
	DryRun   bool   `long:"dry-run" env:"ROSEMARYLB_DRY_RUN" description:"show the changes and publish nothing"`
	JSON     bool   `long:"json" env:"ROSEMARYLB_JSON" description:"print the result as JSON"`
}

// applyResult is the result of a publication for scripts.
type applyResult struct {
	Published bool          `json:"published"`
	Revision  uint64        `json:"revision"`
	Author    string        `json:"author"`
	Changes   []site.Change `json:"changes"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	d, _, err := c.document()
	if err != nil {
		return err
	}
	ctx := context.Background()
	store := platform.NewHTTPStore(c.Platform)
	seen, err := store.Get(ctx, platform.ConfigurationName)
	if err != nil {
		return err
	}
	before, err := platform.DecodePublication(seen)
	if err != nil {
		return err
	}
	if c.Seen >= 0 && uint64(c.Seen) != before.Revision {
		return c.conflict(before, d)
	}
	if err := refuseGroupChange(before, d); err != nil {
		return err
	}
	changes := differences(before, d)
	if c.DryRun {
		return c.print(applyResult{
			Revision: before.Revision,
			Author:   before.Author,
			Changes:  changes,
		})
	}
	outcome, err := platform.Publish(ctx, store, seen, c.author(), d.Render(false))
	if err != nil {
		return err
	}
	if !outcome.Published {
		return c.conflict(outcome.Current, d)
	}
	return c.print(applyResult{
		Published: true,
		Revision:  outcome.Current.Revision,
		Author:    outcome.Current.Author,
		Changes:   changes,
	})
}

func (c *applyCommand) author() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// differences returns what a document changes in a standing publication.
func differences(standing platform.Publication, d site.Document) []site.Change {
	return site.Diff(documentOf(standing), d)
}

// documentOf returns a publication's document, an empty one if it cannot be
// read.
func documentOf(p platform.Publication) site.Document {
	d, err := site.NewDocument(site.File{
		Name: "published",
		Text: p.Document,
	})
	if err != nil {
		return site.Document{}
	}
	return d
}

// refuseGroupChange refuses a document that changes the endpoints of a
// database that is in service.
func refuseGroupChange(standing platform.Publication, d site.Document) error {
	changed := site.GroupChanges(documentOf(standing), d)
	if len(changed) == 0 {
		return nil
	}
	return usage(errors.Newf("the endpoints of %s in service cannot be added, removed or renamed: a commit that the "+
		"former group holds could be lost", strings.Join(changed, ", ")))
}

func (c *applyCommand) conflict(standing platform.Publication, d site.Document) error {
	text := fmt.Sprintf("not published: revision %d by %s came first; it differs from these files in:",
		standing.Revision, standing.Author)
	for _, change := range differences(standing, d) {
		text += "\n  " + line(change)
	}
	return failure{
		code:  ExitConflict,
		cause: errors.New(text),
	}
}

func line(c site.Change) string {
	switch {
	case c.Before == "":
		return "+ " + c.Key + ": " + c.After
	case c.After == "":
		return "- " + c.Key + ": " + c.Before
	default:
		return "~ " + c.Key + ": " + c.Before + " -> " + c.After
	}
}

func (c *applyCommand) print(r applyResult) error {
	if c.JSON {
		return printJSON(c.shell, r)
	}
	for _, change := range r.Changes {
		if _, err := fmt.Fprintln(c.out, line(change)); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	verb := "standing"
	if r.Published {
		verb = "published"
	}
	_, err := fmt.Fprintf(c.out, "%s revision %d by %s\n", verb, r.Revision, r.Author)
	return errors.Wrap(err, "print")
}

func printJSON(s *shell, value any) error {
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(value), "print")
}

type statusCommand struct {
	*shell

	Operators []string `long:"operator" env:"ROSEMARYLB_OPERATORS" env-delim:"," required:"true" description:"operator address of an instance; repeat for each"`
	Revision  uint64   `long:"revision" env:"ROSEMARYLB_REVISION" description:"revision that has to be in force; by default the highest found"`
	Follow    bool     `long:"follow" env:"ROSEMARYLB_FOLLOW" description:"wait until it is in force everywhere"`
	Timeout   string   `long:"timeout" env:"ROSEMARYLB_TIMEOUT" default:"18s" description:"how long to follow"`
	JSON      bool     `long:"json" env:"ROSEMARYLB_JSON" description:"print the result as JSON"`
}

// rollout is how far a revision is in force.
type rollout struct {
	Revision uint64            `json:"revision"`
	Everyone bool              `json:"everywhere"`
	InForce  map[string]uint64 `json:"in-force"`
	Missing  map[string]string `json:"missing"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	span, err := time.ParseDuration(c.Timeout)
	if err != nil {
		return usage(errors.Wrap(err, "timeout"))
	}
	deadline := time.Now().Add(span)
	for {
		r := c.look()
		if err := c.print(r); err != nil {
			return err
		}
		if r.Everyone {
			return nil
		}
		if !c.Follow || time.Now().After(deadline) {
			return failure{
				code:  ExitIncomplete,
				cause: errors.Newf("revision %d is not in force everywhere", r.Revision),
			}
		}
		time.Sleep(followInterval)
	}
}

// look asks each instance which revision is in force there.
func (c *statusCommand) look() rollout {
	r := rollout{
		Revision: c.Revision,
		InForce:  map[string]uint64{},
		Missing:  map[string]string{},
	}
	for _, address := range c.Operators {
		var s operator.Status
		if err := fetch(address, "/status", &s); err != nil {
			r.Missing[address] = err.Error()
			continue
		}
		r.InForce[s.Instance] = s.Fleet.Revision
		r.Revision = max(r.Revision, s.Fleet.Revision)
	}
	for name, revision := range r.InForce {
		if revision < r.Revision {
			r.Missing[name] = fmt.Sprintf("has revision %d", revision)
		}
	}
	r.Everyone = len(r.Missing) == 0
	return r
}

func (c *statusCommand) print(r rollout) error {
	if c.JSON {
		return printJSON(c.shell, r)
	}
	_, err := fmt.Fprintf(c.out, "revision=%d in-force=%d missing=%d\n", r.Revision, len(c.Operators)-len(r.Missing),
		len(r.Missing))
	if err != nil {
		return errors.Wrap(err, "print")
	}
	for name, reason := range r.Missing {
		if _, err := fmt.Fprintf(c.out, "  missing %s: %s\n", name, reason); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}
