// Package command is the command line of the proxy.
package command

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Version is the program's version.
const Version = "0.1.0"

// Exit codes.
const (
	// ExitOK tells that the command did what was asked.
	ExitOK = 0
	// ExitFailure tells that it could not.
	ExitFailure = 1
	// ExitUsage tells that the command line or a file is wrong; nothing was
	// changed.
	ExitUsage = 2
	// ExitConflict tells that another operator's publication came first.
	ExitConflict = 3
	// ExitIncomplete tells that a rollout was not in force everywhere in time.
	ExitIncomplete = 4
)

// failure is an error with its exit code.
type failure struct {
	code  int
	cause error
}

// Error implements error.
func (f failure) Error() string {
	return f.cause.Error()
}

func usage(err error) error {
	return failure{
		code:  ExitUsage,
		cause: err,
	}
}

// shell is what every command is given.
type shell struct {
	out io.Writer
	log *slog.Logger
}

type root struct {
	Serve    serveCommand    `command:"serve" description:"Run one instance of the proxy"`
	Host     hostCommand     `command:"host" description:"Run one instance on the users' platform"`
	Config   configCommand   `command:"config" description:"Check, render, publish and follow the configuration"`
	Dump     dumpCommand     `command:"dump" description:"Print the state of an instance as JSON"`
	Drain    drainCommand    `command:"drain" description:"Shut an instance down gracefully"`
	Demo     demoCommand     `command:"demo" description:"Run a whole service in one process, on stand-ins"`
	DemoLine lineDemoCommand `command:"demo-line" description:"Run the front end of the users' platform in one process, on stand-ins; needs no files"`
	Version  versionCommand  `command:"version" description:"Print the version"`
}

type configCommand struct {
	Check  checkCommand  `command:"check" description:"Report everything that is wrong in the files"`
	Render renderCommand `command:"render" description:"Print the merged configuration"`
	Apply  applyCommand  `command:"apply" description:"Publish the configuration"`
	Status statusCommand `command:"status" description:"Show the revision in force on each instance"`
}

// Run executes a command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	s := &shell{
		out: out,
		log: slog.New(slog.NewTextHandler(errOut, nil)),
	}
	r := newRoot(s)
	p := flags.NewNamedParser("rosemarylb", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", r); err != nil {
		panic(err)
	}
	p.LongDescription = "A database proxy with session consistency. Exit codes: 0 done, 1 failed, " +
		"2 wrong command line or file, 3 another publication came first, 4 not in force everywhere in time."
	_, err := p.ParseArgs(args)
	return report(err, out, errOut)
}

func newRoot(s *shell) *root {
	r := &root{}
	r.Serve.shell = s
	r.Host.shell = s
	r.Config.Check.shell = s
	r.Config.Render.shell = s
	r.Config.Apply.shell = s
	r.Config.Status.shell = s
	r.Dump.shell = s
	r.Drain.shell = s
	r.Demo.shell = s
	r.DemoLine.shell = s
	r.Version.shell = s
	return r
}

func report(err error, out, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var parse *flags.Error
	if errors.As(err, &parse) {
		if parse.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(out, parse.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintln(errOut, parse.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(errOut, err.Error())
	var f failure
	if errors.As(err, &f) {
		return f.code
	}
	return ExitFailure
}

type versionCommand struct {
	*shell
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintln(c.out, Version)
	return errors.Wrap(err, "print")
}
