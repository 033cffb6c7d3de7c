package command

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"rosemarylb"
	"rosemarylb/internal/peer/platform"
	"rosemarylb/internal/process/budget"
	"rosemarylb/internal/process/service"
)

type serveCommand struct {
	*environment

	Instance        string `long:"instance" env:"ROSEMARYLB_INSTANCE" required:"true" description:"name of this instance"`
	Domain          string `long:"domain" env:"ROSEMARYLB_DOMAIN" required:"true" description:"failure domain it stands in"`
	Region          string `long:"region" env:"ROSEMARYLB_REGION" required:"true" description:"region of that domain"`
	CallerAddress   string `long:"caller-address" env:"ROSEMARYLB_CALLER_ADDRESS" default:"127.0.0.1:6432" description:"host:port for callers"`
	InstanceAddress string `long:"instance-address" env:"ROSEMARYLB_INSTANCE_ADDRESS" default:"127.0.0.1:6433" description:"host:port for other instances"`
	OperatorAddress string `long:"operator-address" env:"ROSEMARYLB_OPERATOR_ADDRESS" default:"127.0.0.1:6434" description:"host:port for operators"`
	Platform        string `long:"platform" env:"ROSEMARYLB_PLATFORM" required:"true" description:"base address of the platform's service, such as http://10.0.0.1:8080"`
	MemoryMB        int64  `long:"memory-mb" env:"ROSEMARYLB_MEMORY_MB" default:"1024" description:"memory that the process may use, in MiB"`
	MaxFDs          int64  `long:"max-fds" env:"ROSEMARYLB_MAX_FDS" default:"0" description:"descriptors that the process may open, 0 for the limit of the system"`
	Loops           int    `long:"loops" env:"ROSEMARYLB_LOOPS" default:"2" description:"event loops toward callers, and as many toward endpoints"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	debug.SetMemoryLimit(budget.HeapLimit(c.MemoryMB))
	instance, stop, err := service.NewInstance(service.Settings{
		ID:              rosemarylb.InstanceID(c.Instance),
		Domain:          rosemarylb.DomainName(c.Domain),
		Region:          rosemarylb.RegionName(c.Region),
		CallerAddress:   c.CallerAddress,
		InstanceAddress: c.InstanceAddress,
		OperatorAddress: c.OperatorAddress,
		EventLoops:      c.Loops,
		MemoryMegabytes: c.MemoryMB,
		MaxDescriptors:  c.MaxFDs,
		Version:         Version,
	}, platform.NewHTTPStore(c.Platform), service.WithLogger(c.log.With("instance", c.Instance)))
	if err != nil {
		return err
	}
	defer stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-instance.DrainRequested():
	}
	instance.Drain()
	return nil
}
