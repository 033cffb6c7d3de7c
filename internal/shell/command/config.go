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

// rolloutPollInterval is the time between two status requests while a rollout
// is followed.
const rolloutPollInterval = 200 * time.Millisecond

// configFiles holds the paths of the base file and its overlays.
type configFiles struct {
	Base     string   `long:"base" env:"ROSEMARYLB_BASE" required:"true" description:"the base file"`
	Overlays []string `long:"overlay" env:"ROSEMARYLB_OVERLAY" env-delim:"," description:"an overlay file; may be repeated, later ones win"`
}

// load reads the files, merges them in order and validates the result. Every
// error has the code ExitUsage.
func (f configFiles) load() (site.Document, rosemarylb.ServiceConfig, error) {
	var sources []site.File
	for _, name := range append([]string{f.Base}, f.Overlays...) {
		text, err := os.ReadFile(name)
		if err != nil {
			return site.Document{}, rosemarylb.ServiceConfig{}, usageError(errors.Wrap(err, "configuration"))
		}
		sources = append(sources, site.File{
			Name: name,
			Text: text,
		})
	}
	document, err := site.NewDocument(sources...)
	if err != nil {
		return site.Document{}, rosemarylb.ServiceConfig{}, usageError(err)
	}
	service, err := document.ServiceConfig()
	if err != nil {
		return site.Document{}, rosemarylb.ServiceConfig{}, usageError(err)
	}
	return document, service, nil
}

type checkCommand struct {
	*environment
	configFiles
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	_, service, err := c.load()
	if err != nil {
		return err
	}
	endpoints := 0
	for _, d := range service.Databases {
		endpoints += len(d.Endpoints)
	}
	_, err = fmt.Fprintf(c.out, "ok: %d databases, %d endpoints, %d callers\n", len(service.Databases), endpoints,
		len(service.Callers))
	return errors.Wrap(err, "print")
}

type renderCommand struct {
	*environment
	configFiles

	Origins bool `long:"origins" env:"ROSEMARYLB_ORIGINS" description:"show the file, line and column of each value"`
}

// Execute implements flags.Commander.
func (c *renderCommand) Execute([]string) error {
	document, _, err := c.load()
	if err != nil {
		return err
	}
	_, err = c.out.Write(document.Render(c.Origins))
	return errors.Wrap(err, "print")
}

type applyCommand struct {
	*environment
	configFiles

	Platform     string `long:"platform" env:"ROSEMARYLB_PLATFORM" required:"true" description:"base address of the platform's service"`
	Author       string `long:"author" env:"ROSEMARYLB_AUTHOR" description:"name recorded with the publication"`
	BaseRevision int64  `long:"seen" env:"ROSEMARYLB_SEEN" default:"-1" description:"revision that the change was made from; refused if another one stands"`
	DryRun       bool   `long:"dry-run" env:"ROSEMARYLB_DRY_RUN" description:"show the changes and publish nothing"`
	JSON         bool   `long:"json" env:"ROSEMARYLB_JSON" description:"print the result as JSON"`
}

// applyResult is the result of the apply command, which scripts read as JSON.
type applyResult struct {
	Published bool          `json:"published"`
	Revision  uint64        `json:"revision"`
	Author    string        `json:"author"`
	Changes   []site.Change `json:"changes"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	document, _, err := c.load()
	if err != nil {
		return err
	}
	ctx := context.Background()
	store := platform.NewHTTPStore(c.Platform)
	object, err := store.Get(ctx, platform.ConfigurationName)
	if err != nil {
		return err
	}
	current, err := platform.DecodePublication(object)
	if err != nil {
		return err
	}
	if c.BaseRevision >= 0 && uint64(c.BaseRevision) != current.Revision {
		return c.conflictError(current, document)
	}
	if err := rejectEndpointChanges(current, document); err != nil {
		return err
	}
	changes := diffPublication(current, document)
	if c.DryRun {
		return c.printResult(applyResult{
			Revision: current.Revision,
			Author:   current.Author,
			Changes:  changes,
		})
	}
	outcome, err := platform.Publish(ctx, store, object, c.authorName(), document.Render(false))
	if err != nil {
		return err
	}
	if !outcome.Published {
		return c.conflictError(outcome.Current, document)
	}
	return c.printResult(applyResult{
		Published: true,
		Revision:  outcome.Current.Revision,
		Author:    outcome.Current.Author,
		Changes:   changes,
	})
}

// authorName returns the author given on the command line, by default the user
// of the process.
func (c *applyCommand) authorName() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// diffPublication returns the changes from a publication to a document.
func diffPublication(published platform.Publication, document site.Document) []site.Change {
	return site.Diff(publishedDocument(published), document)
}

// publishedDocument returns the document of a publication, or an empty document
// if it does not parse.
func publishedDocument(p platform.Publication) site.Document {
	document, err := site.NewDocument(site.File{
		Name: "published",
		Text: p.Document,
	})
	if err != nil {
		return site.Document{}
	}
	return document
}

// rejectEndpointChanges returns an error if the document changes the set of
// endpoints of a database that is already published.
func rejectEndpointChanges(published platform.Publication, document site.Document) error {
	changed := site.GroupChanges(publishedDocument(published), document)
	if len(changed) == 0 {
		return nil
	}
	return usageError(errors.Newf("the endpoints of %s cannot be added, removed or renamed while in service: commits held "+
		"only by the previous group could be lost", strings.Join(changed, ", ")))
}

// conflictError describes how the current publication differs from the files.
func (c *applyCommand) conflictError(current platform.Publication, document site.Document) error {
	text := fmt.Sprintf("not published: revision %d by %s is current; it differs from these files in:",
		current.Revision, current.Author)
	for _, change := range diffPublication(current, document) {
		text += "\n  " + formatChange(change)
	}
	return exitError{
		code:  ExitConflict,
		cause: errors.New(text),
	}
}

// formatChange formats a change as one line of a diff: + for an added key, - for
// a removed one, ~ for a new value.
func formatChange(c site.Change) string {
	switch {
	case c.Before == "":
		return "+ " + c.Key + ": " + c.After
	case c.After == "":
		return "- " + c.Key + ": " + c.Before
	default:
		return "~ " + c.Key + ": " + c.Before + " -> " + c.After
	}
}

func (c *applyCommand) printResult(r applyResult) error {
	if c.JSON {
		return printJSON(c.environment, r)
	}
	for _, change := range r.Changes {
		if _, err := fmt.Fprintln(c.out, formatChange(change)); err != nil {
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

func printJSON(env *environment, value any) error {
	encoder := json.NewEncoder(env.out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print")
}

type statusCommand struct {
	*environment

	Addresses []string `long:"operator" env:"ROSEMARYLB_OPERATORS" env-delim:"," required:"true" description:"operator address of an instance; repeat for each"`
	Revision  uint64   `long:"revision" env:"ROSEMARYLB_REVISION" description:"revision that has to be in force; by default the highest found"`
	Follow    bool     `long:"follow" env:"ROSEMARYLB_FOLLOW" description:"wait until it is in force everywhere"`
	Timeout   string   `long:"timeout" env:"ROSEMARYLB_TIMEOUT" default:"18s" description:"how long to follow"`
	JSON      bool     `long:"json" env:"ROSEMARYLB_JSON" description:"print the result as JSON"`
}

// rolloutStatus reports which instances have a revision in force.
type rolloutStatus struct {
	Revision uint64            `json:"revision"`
	Complete bool              `json:"everywhere"`
	InForce  map[string]uint64 `json:"in-force"`
	Missing  map[string]string `json:"missing"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	timeout, err := time.ParseDuration(c.Timeout)
	if err != nil {
		return usageError(errors.Wrap(err, "timeout"))
	}
	deadline := time.Now().Add(timeout)
	for {
		r := c.collect()
		if err := c.printStatus(r); err != nil {
			return err
		}
		if r.Complete {
			return nil
		}
		if !c.Follow || time.Now().After(deadline) {
			return exitError{
				code:  ExitIncomplete,
				cause: errors.Newf("revision %d is not in force everywhere", r.Revision),
			}
		}
		time.Sleep(rolloutPollInterval)
	}
}

// collect requests the revision in force from each instance. An instance that
// does not respond is reported as missing, with the error as the reason.
func (c *statusCommand) collect() rolloutStatus {
	r := rolloutStatus{
		Revision: c.Revision,
		InForce:  map[string]uint64{},
		Missing:  map[string]string{},
	}
	for _, address := range c.Addresses {
		var s operator.Status
		if err := getJSON(address, "/status", &s); err != nil {
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
	r.Complete = len(r.Missing) == 0
	return r
}

func (c *statusCommand) printStatus(r rolloutStatus) error {
	if c.JSON {
		return printJSON(c.environment, r)
	}
	_, err := fmt.Fprintf(c.out, "revision=%d in-force=%d missing=%d\n", r.Revision, len(c.Addresses)-len(r.Missing),
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
