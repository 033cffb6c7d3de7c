// Command experiment measures the proxy on stand-ins and prints tables.
package main

import (
	"fmt"
	"os"
	"time"

	"rosemarylb/internal/experiment/flood"
	"rosemarylb/internal/experiment/membership"
	"rosemarylb/internal/experiment/report"

	"rosemarylb"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Flood      floodCommand      `command:"flood" description:"Compare queue policies while one rank floods in"`
	Membership membershipCommand `command:"membership" description:"Measure membership in fleets of several sizes"`
}

type floodCommand struct {
	Seed uint64 `long:"seed" default:"1" description:"seed of the arrivals"`
}

// Execute implements flags.Commander.
func (c *floodCommand) Execute([]string) error {
	t := report.NewTable(os.Stdout, "scenario", "policy", "goodput-%", "rank", "offered", "good", "late", "refused",
		"share-%", "p50", "p99", "fairness")
	for _, s := range flood.Scenarios() {
		for _, p := range flood.Policies() {
			r := flood.Run(p, s, c.Seed, time.Minute)
			for rank, got := range r.Ranks {
				t.Row(s.Name, p.Name, r.Goodput, rosemarylb.Rank(rank), got.Offered, got.Good, got.Late, got.Refused,
					got.Share, got.P50.Round(10000), got.P99.Round(10000), got.Fairness)
			}
		}
	}
	return t.Flush()
}

type membershipCommand struct {
	Sizes []int  `long:"size" description:"number of instances; may be repeated"`
	Cut   int    `long:"cut" default:"20" description:"seconds for which the regions lose each other"`
	Seed  uint64 `long:"seed" default:"1" description:"seed of the run"`
}

// Execute implements flags.Commander.
func (c *membershipCommand) Execute([]string) error {
	if len(c.Sizes) == 0 {
		c.Sizes = []int{9, 50, 200}
	}
	t := report.NewTable(os.Stdout, "instances", "messages/s", "bytes/s", "us/message", "loss-known", "false-deaths",
		"healed")
	for _, size := range c.Sizes {
		r := membership.Run(membership.Options{
			Members: size,
			Cut:     c.Cut,
			Seed:    c.Seed,
		})
		t.Row(size, r.Messages, r.Bytes, r.Processor, r.Detected, r.FalseDeaths, r.Healed)
	}
	return t.Flush()
}

func main() {
	if _, err := flags.Parse(&options{}); err != nil {
		fmt.Fprintln(os.Stderr)
		os.Exit(1)
	}
}
