package path

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"rosemarylb/internal/standin/endpoint"
	"rosemarylb/internal/standin/fleet"
	standin "rosemarylb/internal/standin/platform"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
)

const (
	// maxGap bounds the wait for the first acknowledged write after a failure.
	maxGap = 15 * time.Second
	// recoveryPause is the time between the recovery of an endpoint and the next
	// failure.
	recoveryPause = 2500 * time.Millisecond
)

// spawnSession runs a measured session concurrently and marks it as done.
func spawnSession(done *sync.WaitGroup, run func()) {
	go func() {
		defer done.Done()
		run()
	}()
}

// GapResult holds the failover gaps of several failures: the times without an
// acknowledged write.
type GapResult struct {
	// Gaps are the times from each failure to the first acknowledged write that
	// began after it, in increasing order.
	Gaps []time.Duration
	// FailedWrites counts the writes that returned an error.
	FailedWrites int
}

// Quantile returns a quantile of the gaps, q from 0 to 1; 0 without gaps.
func (r GapResult) Quantile(q float64) time.Duration {
	if len(r.Gaps) == 0 {
		return 0
	}
	return r.Gaps[min(int(q*float64(len(r.Gaps))), len(r.Gaps)-1)]
}

// Failure is a way in which a primary fails.
type Failure struct {
	// Name is the name in reports.
	Name string
	// Faults are injected into the primary.
	Faults endpoint.Faults
	// PlatformDown is true if the platform is down during the measurement.
	PlatformDown bool
}

// Failures returns the measured failures.
func Failures() []Failure {
	crash := endpoint.Faults{
		Down: true,
	}
	silence := endpoint.Faults{
		Unresponsive: true,
	}
	return []Failure{
		{
			Name:   "crash",
			Faults: crash,
		},
		{
			Name:   "silence",
			Faults: silence,
		},
		{
			Name:         "crash, platform down",
			Faults:       crash,
			PlatformDown: true,
		},
		{
			Name:         "silence, platform down",
			Faults:       silence,
			PlatformDown: true,
		},
	}
}

// MeasureGaps makes the primary fail a number of times and measures each failover
// gap. A failed endpoint recovers with its data.
func MeasureGaps(ctx context.Context, failure Failure, count int) (GapResult, error) {
	f, stop, err := newFleet(ctx)
	if err != nil {
		return GapResult{}, err
	}
	defer stop()
	f.Platform.SetFaults(standin.Faults{
		Down: failure.PlatformDown,
	})
	var result GapResult
	id := 0
	for range count {
		primary := f.Endpoints[f.Primary(database)]
		failedAt := time.Now()
		primary.SetFaults(failure.Faults)
		gap, unknown, err := firstWrite(ctx, f, failedAt, &id)
		if err != nil {
			return result, err
		}
		result.Gaps = append(result.Gaps, gap)
		result.FailedWrites += unknown
		primary.SetFaults(endpoint.Faults{})
		time.Sleep(recoveryPause)
	}
	slices.Sort(result.Gaps)
	return result, nil
}

// firstWrite retries a write until it is acknowledged, with a new ID each time. It
// returns the time since the failure and the number of failed writes, or an error
// after maxGap.
func firstWrite(
	ctx context.Context, f *fleet.Fleet, failedAt time.Time, id *int,
) (gap time.Duration, unknown int, err error) {
	var c *pgx.Conn
	for time.Since(failedAt) < maxGap {
		if c == nil || c.IsClosed() {
			c, err = f.Connect(ctx, 0, "fitter", database)
			if err != nil {
				return 0, unknown, err
			}
		}
		*id++
		_, err = c.Exec(ctx, fmt.Sprintf("INSERT INTO jobs (id, note) VALUES (%d, 'x')", *id))
		if err == nil {
			_ = c.Close(ctx)
			return time.Since(failedAt), unknown, nil
		}
		unknown++
	}
	return 0, unknown, errors.Wrapf(err, "no write within %v", maxGap)
}

// CommitResult is the latency of commits at one replication lag.
type CommitResult struct {
	// P50 is the median time from a statement to its acknowledgement.
	P50 time.Duration
	// P99 is the 99th percentile.
	P99 time.Duration
}

// MeasureCommits measures the latency of single writes at one replication lag.
func MeasureCommits(ctx context.Context, lag time.Duration, count int) (CommitResult, error) {
	f, stop, err := newFleet(ctx)
	if err != nil {
		return CommitResult{}, err
	}
	defer stop()
	setFaults(f, endpoint.Faults{
		ReplicationLagMillis: lag.Milliseconds(),
	})
	c, err := f.Connect(ctx, 0, "fitter", database)
	if err != nil {
		return CommitResult{}, err
	}
	defer func() {
		_ = c.Close(ctx)
	}()
	var latencies []time.Duration
	for n := range count {
		startedAt := time.Now()
		if _, err := c.Exec(ctx, "INSERT INTO jobs (id, note) VALUES ($1, 'x')", n+1); err != nil {
			return CommitResult{}, errors.Wrap(err, "write")
		}
		latencies = append(latencies, time.Since(startedAt))
	}
	slices.Sort(latencies)
	return CommitResult{
		P50: latencies[len(latencies)/2],
		P99: latencies[len(latencies)*99/percent],
	}, nil
}
