// Command standin runs a stand-in of the platform's service or of an endpoint
// as a separate process, for tests.
package main

import (
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"rosemarylb/internal/standin/endpoint"
	"rosemarylb/internal/standin/platform"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Platform platformCommand `command:"platform" description:"Run the platform's service"`
	Endpoint endpointCommand `command:"endpoint" description:"Run an endpoint"`
}

type platformCommand struct {
	Address string `long:"address" default:"127.0.0.1:0" description:"host:port to listen on"`
}

type endpointCommand struct {
	Address     string `long:"address" default:"127.0.0.1:0" description:"host:port of the database protocol"`
	Control     string `long:"control" default:"" description:"host:port where faults are set"`
	Name        string `long:"name" default:"endpoint" description:"name shown to peers"`
	Connections int    `long:"connections" default:"1000" description:"limit of data connections"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	server, stop, err := platform.NewServer(c.Address)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Println(server.Address())
	waitForSignal()
	return nil
}

// Execute implements flags.Commander.
func (c *endpointCommand) Execute([]string) error {
	server, stop, err := endpoint.NewServer(c.Address,
		endpoint.WithName(c.Name),
		endpoint.WithConnectionLimit(c.Connections))
	if err != nil {
		return err
	}
	defer stop()
	if c.Control != "" {
		control := &http.Server{
			Addr:              c.Control,
			Handler:           server,
			ReadHeaderTimeout: time.Second,
		}
		go func() {
			slog.Error("control server stopped", "reason", control.ListenAndServe().Error())
		}()
	}
	fmt.Println(server.Address())
	waitForSignal()
	return nil
}

// waitForSignal blocks until SIGTERM or SIGINT.
func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
}

func main() {
	if _, err := flags.Parse(&options{}); err != nil {
		os.Exit(1)
	}
}
