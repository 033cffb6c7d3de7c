// Command experiment measures the proxy against stand-ins and prints a table for
// each experiment.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"rosemarylb/internal/experiment/contention"
	"rosemarylb/internal/experiment/flood"
	"rosemarylb/internal/experiment/membership"
	"rosemarylb/internal/experiment/ownership"
	"rosemarylb/internal/experiment/path"
	"rosemarylb/internal/experiment/report"
	"rosemarylb/internal/experiment/soak"

	"rosemarylb"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

type options struct {
	Flood      floodCommand      `command:"flood" description:"Compare queue policies while one rank floods in"`
	Reads      readsCommand      `command:"reads" description:"Measure the share of reads that replicas serve"`
	Failover   failoverCommand   `command:"failover" description:"Measure the failover gap"`
	Commit     commitCommand     `command:"commit" description:"Measure the delay of commits by replica lag"`
	Idle       idleCommand       `command:"rest" description:"Measure what control costs a fleet at rest"`
	Soak       soakCommand       `command:"soak" description:"Run instances as processes, harm them and check what callers see"`
	Contention contentionCommand `command:"contention" description:"Compare queue policies while one team exceeds its load"`
	Membership membershipCommand `command:"membership" description:"Measure membership in fleets of several sizes"`
	Ownership  ownershipCommand  `command:"ownership" description:"Model who holds connections that belong to teams"`
}

type floodCommand struct {
	Seed uint64 `long:"seed" default:"1" description:"seed of the arrivals"`
}

// Execute implements flags.Commander.
func (c *floodCommand) Execute([]string) error {
	table := report.NewTable(os.Stdout, "scenario", "policy", "goodput-%", "rank", "offered", "good", "late", "refused",
		"share-%", "p50", "p99", "fairness")
	for _, scenario := range flood.Scenarios() {
		for _, policy := range flood.Policies() {
			r := flood.Run(policy, scenario, c.Seed, time.Minute)
			for rank, result := range r.Ranks {
				table.AddRow(scenario.Name, policy.Name, r.Goodput, rosemarylb.Rank(rank), result.Offered, result.WithinTarget,
					result.Late, result.Refused, result.Share, result.P50.Round(10000), result.P99.Round(10000), result.Fairness)
			}
		}
	}
	return table.Flush()
}

type contentionCommand struct {
	Seed   uint64 `long:"seed" default:"1" description:"seed of the arrivals"`
	Policy string `long:"policy" default:"time-admission" description:"policy that the drawing shows"`
	SVG    string `long:"svg" description:"file for a drawing by team and rank over time; none if empty"`
}

// Execute implements flags.Commander.
func (c *contentionCommand) Execute([]string) error {
	load, rules := contention.NewLoad(), contention.NewRules()
	arrivals := load.Arrivals(c.Seed)
	table := report.NewTable(os.Stdout, "policy", "teams", "rank", "offered", "served", "late", "refused", "worth-%", "p99")
	for _, policy := range contention.Policies() {
		operations := contention.Run(policy, load, rules, arrivals)
		for _, surging := range []bool{true, false} {
			for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
				r := contention.Count(operations, rules, func(o contention.Operation) bool {
					return o.Rank == rank && (o.Team == load.Surging) == surging
				})
				teams := "others"
				if surging {
					teams = load.Teams[load.Surging].Name
				}
				table.AddRow(policy.Name, teams, rank, r.Offered(), r.Served, r.Late, r.Refused, r.WorthPercent(), r.P99.Round(time.Millisecond))
			}
		}
		if c.SVG != "" && policy.Name == c.Policy {
			if err := writeDrawing(c.SVG, policy.Name, load, rules, operations); err != nil {
				return err
			}
		}
	}
	return table.Flush()
}

func writeDrawing(
	path, title string, l contention.Load, r contention.Rules, operations []contention.Operation,
) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(contention.WriteSVG(file, title, l, r, operations), file.Close())
}

type ownershipCommand struct {
	Seed    uint64  `long:"seed" default:"1" description:"seed of the arrivals"`
	Seconds float64 `long:"seconds" default:"300" description:"how long each case is played"`
}

// Execute implements flags.Commander.
func (c *ownershipCommand) Execute([]string) error {
	table := report.NewTable(os.Stdout, "operations/s", "idle-s", "owners", "open", "openings/s", "relayed-%", "blocked-%")
	for _, perSecond := range []float64{30, 60, 120} {
		for _, idle := range []float64{3, 15} {
			for _, owners := range []int{0, 2, 4, 8} {
				r := ownership.Run(ownership.Options{
					Instances:   80,
					Teams:       82,
					Connections: 69,
					PerSecond:   perSecond,
					IdleSeconds: idle,
					Owners:      owners,
					Seed:        c.Seed,
				}, c.Seconds)
				table.AddRow(perSecond, idle, owners, r.Open, r.OpeningsPerSecond, r.RelayedPercent, r.BlockedPercent)
			}
		}
	}
	return table.Flush()
}

type membershipCommand struct {
	Sizes            []int  `long:"size" description:"number of instances; may be repeated"`
	PartitionSeconds int    `long:"cut" default:"20" description:"seconds for which the regions lose each other"`
	Seed             uint64 `long:"seed" default:"1" description:"seed of the run"`
}

// Execute implements flags.Commander.
func (c *membershipCommand) Execute([]string) error {
	if len(c.Sizes) == 0 {
		c.Sizes = []int{9, 50, 200}
	}
	table := report.NewTable(os.Stdout, "instances", "messages/s", "bytes/s", "us/message", "loss-known", "false-deaths",
		"healed")
	for _, size := range c.Sizes {
		r := membership.Run(membership.Options{
			Members:          size,
			PartitionSeconds: c.PartitionSeconds,
			Seed:             c.Seed,
		})
		table.AddRow(size, r.MessagesPerSecond, r.BytesPerSecond, r.HandlingMicros, r.DetectionTime, r.FalseDeaths, r.ConvergenceTime)
		table.Print()
	}
	return table.Flush()
}

type soakCommand struct {
	Program   string `long:"program" default:"target/rosemarylb" description:"program that instances run"`
	Folder    string `long:"folder" description:"folder for the instances' output; a temporary one if empty"`
	Seed      uint64 `long:"seed" default:"1" description:"first seed"`
	Count     int    `long:"count" default:"1" description:"number of seeds"`
	Seconds   int    `long:"seconds" default:"15" description:"for how long things are harmed"`
	Instances int    `long:"instances" default:"5" description:"number of processes"`
	Groups    int    `long:"groups" default:"2" description:"number of replicated databases"`
	Callers   int    `long:"callers" default:"16" description:"number of callers"`
	Restores  bool   `long:"restores" description:"restore the store from older copies"`
	Sync      bool   `long:"sync-replicas" description:"acknowledge commits once a replica has them, and crash primaries while a replica drains"`
	Deposed   bool   `long:"deposed-holders" description:"have the store turn away holders of the lease and others depose them"`
	Dark      bool   `long:"dark-primaries" description:"have endpoints go dark as they are promoted"`
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	if c.Folder == "" {
		folder, err := os.MkdirTemp("", "soak")
		if err != nil {
			return err
		}
		c.Folder = folder
	}
	failed := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Count); seed++ {
		r, err := soak.Run(soak.Options{
			Program:   c.Program,
			Folder:    c.Folder,
			Seed:      seed,
			Length:    time.Duration(c.Seconds) * time.Second,
			Instances: c.Instances,
			Groups:    c.Groups,
			Callers:   c.Callers,
			Restores:  c.Restores,

			SyncReplicas:   c.Sync,
			DarkPrimaries:  c.Dark,
			DeposedHolders: c.Deposed,
		})
		if err != nil {
			return err
		}
		fmt.Println(r)
		if len(r.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed; the instances' output is in %s", failed, c.Count, c.Folder)
	}
	return nil
}

type readsCommand struct {
	Seconds int `long:"seconds" default:"10" description:"how long each lag is measured"`
}

// Execute implements flags.Commander.
func (c *readsCommand) Execute([]string) error {
	table := report.NewTable(os.Stdout, "lag", "reads", "allowed", "replica-%", "allowed-replica-%", "naive-%", "stale")
	for _, millis := range []int{5, 50, 500} {
		lag := time.Duration(millis) * time.Millisecond
		r, err := path.MeasureReads(context.Background(), lag, time.Duration(c.Seconds)*time.Second)
		if err != nil {
			return err
		}
		table.AddRow(lag, r.Reads, r.Allowed, r.ReplicaPercent, r.AllowedReplicaPercent, r.NaivePercent, r.Stale)
	}
	return table.Flush()
}

type failoverCommand struct {
	Count int `long:"count" default:"20" description:"failures of each kind"`
}

// Execute implements flags.Commander.
func (c *failoverCommand) Execute([]string) error {
	table := report.NewTable(os.Stdout, "failure", "count", "p50", "p99", "longest", "unknown")
	for _, failure := range path.Failures() {
		r, err := path.MeasureGaps(context.Background(), failure, c.Count)
		if err != nil {
			return err
		}
		table.AddRow(failure.Name, len(r.Gaps), r.Quantile(0.5), r.Quantile(0.99), r.Quantile(1), r.FailedWrites)
	}
	return table.Flush()
}

type commitCommand struct {
	Count int `long:"count" default:"200" description:"commits at each lag"`
}

// Execute implements flags.Commander.
func (c *commitCommand) Execute([]string) error {
	table := report.NewTable(os.Stdout, "lag", "commits", "p50", "p99")
	for _, millis := range []int{0, 5, 50, 500} {
		lag := time.Duration(millis) * time.Millisecond
		count := c.Count
		if millis > 100 {
			count /= 10
		}
		r, err := path.MeasureCommits(context.Background(), lag, count)
		if err != nil {
			return err
		}
		table.AddRow(lag, count, r.P50, r.P99)
	}
	return table.Flush()
}

type idleCommand struct {
	Seconds int `long:"seconds" default:"20" description:"how long the fleet rests"`
}

// Execute implements flags.Commander.
func (c *idleCommand) Execute([]string) error {
	r, err := path.MeasureIdle(context.Background(), time.Duration(c.Seconds)*time.Second)
	if err != nil {
		return err
	}
	table := report.NewTable(os.Stdout, "per instance and second", "value")
	table.AddRow("endpoints probed", r.ProbedEndpoints)
	table.AddRow("probe payload bytes, both ways", r.ProbeBytes)
	table.AddRow("payload bytes between instances, sent", r.InstanceBytes)
	table.AddRow("platform calls", r.PlatformCalls)
	return table.Flush()
}

func main() {
	if _, err := flags.Parse(&options{}); err != nil {
		fmt.Fprintln(os.Stderr)
		os.Exit(1)
	}
}
