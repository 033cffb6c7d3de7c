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
	*shell
	files

	Port int  `long:"port" env:"ROSEMARYLB_DEMO_PORT" default:"6432" description:"port of the first instance; the others follow"`
	Once bool `long:"once" env:"ROSEMARYLB_DEMO_ONCE" description:"run the main job and stop"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	d, _, err := c.document()
	if err != nil {
		return err
	}
	run, stop, err := demo.NewDemo(d, c.Port, c.log)
	if err != nil {
		return err
	}
	defer stop()
	return c.play(run, c.Once)
}

type lineDemoCommand struct {
	*shell

	Once bool `long:"once" env:"ROSEMARYLB_DEMO_ONCE" description:"run the main job and stop"`
}

// Execute implements flags.Commander.
func (c *lineDemoCommand) Execute([]string) error {
	run, stop, err := demo.NewLine(slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	defer stop()
	return c.play(run, c.Once)
}

// played is a demo that runs.
type played interface {
	MainJob() (string, error)
	Hints() string
}

// play runs a demo's main job, and waits for a signal unless that was all.
func (s *shell) play(d played, once bool) error {
	text, err := d.MainJob()
	if err != nil {
		return err
	}
	if _, err := fmt.Fprint(s.out, text); err != nil {
		return errors.Wrap(err, "print")
	}
	if once {
		return nil
	}
	if _, err := fmt.Fprint(s.out, d.Hints()); err != nil {
		return errors.Wrap(err, "print")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}
