// Package command implements the command line of the proxy.
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
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that the command failed.
	ExitFailure = 1
	// ExitUsage means that the command line or a file is invalid; nothing was
	// changed.
	ExitUsage = 2
	// ExitConflict means that another operator published a revision first.
	ExitConflict = 3
	// ExitIncomplete means that a revision was not in force on all instances
	// within the timeout.
	ExitIncomplete = 4
)

// exitError is an error that ends the process with a given exit code.
type exitError struct {
	code  int
	cause error
}

// Error implements error.
func (e exitError) Error() string {
	return e.cause.Error()
}

func usageError(err error) error {
	return exitError{
		code:  ExitUsage,
		cause: err,
	}
}

// environment holds the output and the logger that all commands share.
type environment struct {
	out io.Writer
	log *slog.Logger
}

type rootCommand struct {
	Serve    serveCommand    `command:"serve" description:"Run one instance of the proxy"`
	Host     hostCommand     `command:"host" description:"Run one instance on the users' platform"`
	Config   configCommand   `command:"config" description:"Check, render, publish and follow the configuration"`
	Dump     dumpCommand     `command:"dump" description:"Print the state of an instance as JSON"`
	Explain  explainCommand  `command:"explain" description:"Show where a request would go now, and why"`
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
	env := &environment{
		out: out,
		log: slog.New(slog.NewTextHandler(errOut, nil)),
	}
	root := newRootCommand(env)
	parser := flags.NewNamedParser("rosemarylb", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", root); err != nil {
		panic(err)
	}
	parser.LongDescription = "A database proxy with session consistency. Exit codes: 0 success, 1 failure, " +
		"2 invalid command line or file, 3 conflict with another publication, 4 revision not in force everywhere in time."
	_, err := parser.ParseArgs(args)
	return reportError(err, out, errOut)
}

func newRootCommand(env *environment) *rootCommand {
	r := &rootCommand{}
	r.Serve.environment = env
	r.Host.environment = env
	r.Config.Check.environment = env
	r.Config.Render.environment = env
	r.Config.Apply.environment = env
	r.Config.Status.environment = env
	r.Dump.environment = env
	r.Explain.environment = env
	r.Drain.environment = env
	r.Demo.environment = env
	r.DemoLine.environment = env
	r.Version.environment = env
	return r
}

// reportError prints an error, or the help that was requested, and returns the
// exit code for it.
func reportError(err error, out, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var flagsError *flags.Error
	if errors.As(err, &flagsError) {
		if flagsError.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(out, flagsError.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintln(errOut, flagsError.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(errOut, err.Error())
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailure
}

type versionCommand struct {
	*environment
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintln(c.out, Version)
	return errors.Wrap(err, "print")
}
