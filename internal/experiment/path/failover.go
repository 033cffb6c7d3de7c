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
	// gapLimit bounds the wait for the first write after a failure.
	gapLimit = 15 * time.Second
	// settleSpan is the time between two failures.
	settleSpan = 2500 * time.Millisecond
)

// start runs a measured session on a thread of its own.
func start(done *sync.WaitGroup, run func()) {
	go func() {
		defer done.Done()
		run()
	}()
}

// GapResult is how long no write was acknowledged after failures.
type GapResult struct {
	// Gaps are the times from each failure to the first acknowledged write
	// that began after it, in order of length.
	Gaps []time.Duration
	// Unknown counts writes whose outcome stayed unknown.
	Unknown int
}

// Quantile returns a quantile of the gaps.
func (r GapResult) Quantile(q float64) time.Duration {
	if len(r.Gaps) == 0 {
		return 0
	}
	return r.Gaps[min(int(q*float64(len(r.Gaps))), len(r.Gaps)-1)]
}

// Failure is how a primary fails.
type Failure struct {
	// Name names it in reports.
	Name string
	// Faults are what the primary is told.
	Faults endpoint.Faults
	// PlatformDown is true when the platform is down throughout.
	PlatformDown bool
}

// Failures are the ways that are measured.
func Failures() []Failure {
	crash := endpoint.Faults{
		Down: true,
	}
	silence := endpoint.Faults{
		Frozen: true,
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

// Gaps fails the primary a number of times and measures each gap. The failed
// endpoint comes back with what it had.
func Gaps(ctx context.Context, failure Failure, count int) (GapResult, error) {
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
		result.Unknown += unknown
		primary.SetFaults(endpoint.Faults{})
		time.Sleep(settleSpan)
	}
	slices.Sort(result.Gaps)
	return result, nil
}

// firstWrite tries to write until a write is acknowledged.
func firstWrite(
	ctx context.Context, f *fleet.Fleet, failedAt time.Time, id *int,
) (gap time.Duration, unknown int, err error) {
	var c *pgx.Conn
	for time.Since(failedAt) < gapLimit {
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
	return 0, unknown, errors.Wrapf(err, "no write within %v", gapLimit)
}

// CommitResult is the delay of commits at one lag.
type CommitResult struct {
	// P50 and P99 are from the statement to its acknowledgement.
	P50 time.Duration
	// P99 is the 99th percentile.
	P99 time.Duration
}

// Commits measures the delay of single writes at one lag of the replicas.
func Commits(ctx context.Context, lag time.Duration, count int) (CommitResult, error) {
	f, stop, err := newFleet(ctx)
	if err != nil {
		return CommitResult{}, err
	}
	defer stop()
	setFaults(f, endpoint.Faults{
		LagMillis: lag.Milliseconds(),
	})
	c, err := f.Connect(ctx, 0, "fitter", database)
	if err != nil {
		return CommitResult{}, err
	}
	defer func() {
		_ = c.Close(ctx)
	}()
	var delays []time.Duration
	for n := range count {
		began := time.Now()
		if _, err := c.Exec(ctx, "INSERT INTO jobs (id, note) VALUES ($1, 'x')", n+1); err != nil {
			return CommitResult{}, errors.Wrap(err, "write")
		}
		delays = append(delays, time.Since(began))
	}
	slices.Sort(delays)
	return CommitResult{
		P50: delays[len(delays)/2],
		P99: delays[len(delays)*99/percent],
	}, nil
}
