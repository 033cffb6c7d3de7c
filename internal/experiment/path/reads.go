package path

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"rosemarylb/internal/standin/endpoint"

	"github.com/jackc/pgx/v5"
)

const (
	readers      = 12
	writePercent = 10
	thinkTime    = 20 * time.Millisecond
	percent      = 100
)

// ReadsResult is how reads were served at one replica lag.
type ReadsResult struct {
	// Reads counts all reads, Allowed those whose session had not written
	// within the replica lag.
	Reads int
	// Allowed counts the reads that a replica could serve without a wait.
	Allowed int
	// Replica is the part of all reads that replicas served, in percent.
	Replica float64
	// AllowedReplica is that part of the allowed reads.
	AllowedReplica float64
	// Naive is the part that replicas serve when each session reads the
	// primary after its first write, in percent.
	Naive float64
	// Stale counts reads that missed the session's own write.
	Stale int
}

type readCounts struct {
	mu     sync.Mutex
	result ReadsResult
	naive  int
	all    int
	good   int
}

// Reads measures at one lag of the replicas for a span of time.
func Reads(ctx context.Context, lag, span time.Duration) (ReadsResult, error) {
	f, stop, err := newFleet(ctx)
	if err != nil {
		return ReadsResult{}, err
	}
	defer stop()
	setFaults(f, endpoint.Faults{
		LagMillis: lag.Milliseconds(),
	})
	time.Sleep(lag + time.Second)
	counts := &readCounts{}
	until := time.Now().Add(span)
	var done sync.WaitGroup
	for n := range readers {
		c, err := f.Connect(ctx, n%len(f.Instances), "agent", database)
		if err != nil {
			return ReadsResult{}, err
		}
		done.Add(1)
		run := &reader{
			c:      c,
			number: n + 1,
			lag:    lag,
			counts: counts,
			random: rand.New(rand.NewPCG(1, uint64(n))),
		}
		start(&done, func() { run.run(ctx, until) })
	}
	done.Wait()
	return counts.finish(), nil
}

func (k *readCounts) finish() ReadsResult {
	r := k.result
	r.Replica = float64(k.all) * percent / float64(max(r.Reads, 1))
	r.AllowedReplica = float64(k.good) * percent / float64(max(r.Allowed, 1))
	r.Naive = float64(k.naive) * percent / float64(max(r.Reads, 1))
	return r
}

type reader struct {
	c       *pgx.Conn
	number  int
	lag     time.Duration
	counts  *readCounts
	random  *rand.Rand
	wroteAt time.Time
	last    int
}

func (r *reader) run(ctx context.Context, until time.Time) {
	defer func() {
		_ = r.c.Close(ctx)
	}()
	for time.Now().Before(until) {
		time.Sleep(time.Duration(r.random.ExpFloat64() * float64(thinkTime)))
		if r.random.IntN(percent) < writePercent {
			r.write(ctx)
			continue
		}
		r.read(ctx)
	}
}

func (r *reader) write(ctx context.Context) {
	id := r.number*1000000 + r.last + 1
	if _, err := r.c.Exec(ctx, "INSERT INTO jobs (id, note) VALUES ($1, 'x')", id); err != nil {
		return
	}
	r.last++
	r.wroteAt = time.Now()
}

func (r *reader) read(ctx context.Context) {
	began := time.Now()
	var got int
	err := r.c.QueryRow(ctx, "SELECT count(*) FROM jobs WHERE id = $1", r.number*1000000+r.last).Scan(&got)
	if err != nil {
		return
	}
	var served string
	if err := r.c.QueryRow(ctx, "SHOW rosemarylb.endpoint", pgx.QueryExecModeSimpleProtocol).Scan(&served); err != nil {
		return
	}
	r.counts.note(r, began, strings.HasSuffix(served, "replica"), r.last > 0 && got == 0)
}

func (k *readCounts) note(r *reader, began time.Time, replica, stale bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.result.Reads++
	if r.wroteAt.IsZero() {
		k.naive++
	}
	if replica {
		k.all++
	}
	if stale {
		k.result.Stale++
	}
	if r.wroteAt.IsZero() || began.Sub(r.wroteAt) > r.lag {
		k.result.Allowed++
		if replica {
			k.good++
		}
	}
}
