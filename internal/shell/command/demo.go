package command

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"rosemarylb/internal/shell/demo"

	"github.com/cockroachdb/errors"
)

type demoCommand struct {
	*environment
	configFiles

	Port int  `long:"port" env:"ROSEMARYLB_DEMO_PORT" default:"6432" description:"port of the first instance; the others follow"`
	Once bool `long:"once" env:"ROSEMARYLB_DEMO_ONCE" description:"run the main job and stop"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	document, _, err := c.load()
	if err != nil {
		return err
	}
	d, stop, err := demo.NewDemo(document, c.Port, c.log)
	if err != nil {
		return err
	}
	defer stop()
	return c.runDemo(d, c.Once)
}

type lineDemoCommand struct {
	*environment

	Once bool `long:"once" env:"ROSEMARYLB_DEMO_ONCE" description:"run the main job and stop"`
}

// Execute implements flags.Commander.
func (c *lineDemoCommand) Execute([]string) error {
	d, stop, err := demo.NewLineService(slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	defer stop()
	return c.runDemo(d, c.Once)
}

// runnableDemo is a demo service that has been started.
type runnableDemo interface {
	RunScenario() (string, error)
	Instructions() string
}

// runDemo runs the scenario of a demo and prints its report. Unless once is set,
// it then prints how to connect and blocks until SIGTERM or SIGINT.
func (e *environment) runDemo(d runnableDemo, once bool) error {
	text, err := d.RunScenario()
	if err != nil {
		return err
	}
	if _, err := fmt.Fprint(e.out, text); err != nil {
		return errors.Wrap(err, "print")
	}
	if once {
		return nil
	}
	if _, err := fmt.Fprint(e.out, d.Instructions()); err != nil {
		return errors.Wrap(err, "print")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}
