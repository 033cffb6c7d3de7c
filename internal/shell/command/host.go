package command

import (
	"os"

	"rosemarylb/platform"

	"github.com/cockroachdb/errors"
)

type hostCommand struct {
	*environment

	Settings    string `long:"settings" env:"ROSEMARYLB_BOOT" required:"true" description:"path of the platform's settings file"`
	MetricsPort string `long:"metrics-port" env:"ROSEMARYLB_METRICS_PORT" default:"9464" description:"port of metrics and dumps on the instance's address"`
}

// Execute implements flags.Commander.
func (c *hostCommand) Execute([]string) error {
	err := platform.Run(c.Settings, c.MetricsPort, os.Stdout)
	if errors.Is(err, platform.ErrInvalidSettings) {
		return usageError(err)
	}
	return err
}
