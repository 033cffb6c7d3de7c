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
	readerCount   = 12
	writePercent  = 10
	meanThinkTime = 20 * time.Millisecond
	percent       = 100
)

// ReadsResult counts the reads served at one replication lag. All shares are in
// percent.
type ReadsResult struct {
	// Reads counts all reads.
	Reads int
	// Allowed counts the reads that a replica could serve without a wait: those whose
	// session had not written within the replication lag.
	Allowed int
	// ReplicaPercent is the share of all reads that replicas served.
	ReplicaPercent float64
	// AllowedReplicaPercent is the share of the allowed reads that replicas served.
	AllowedReplicaPercent float64
	// NaivePercent is the share that replicas would serve if each session read from the
	// primary after its first write.
	NaivePercent float64
	// Stale counts the reads that missed the session's own last write.
	Stale int
}

// readCounter counts the reads of all readers.
type readCounter struct {
	mu                  sync.Mutex
	result              ReadsResult
	naiveReplicaReads   int
	replicaReads        int
	allowedReplicaReads int
}

// MeasureReads measures the share of reads that replicas serve at one replication lag.
func MeasureReads(ctx context.Context, lag, span time.Duration) (ReadsResult, error) {
	f, stop, err := newFleet(ctx)
	if err != nil {
		return ReadsResult{}, err
	}
	defer stop()
	setFaults(f, endpoint.Faults{
		ReplicationLagMillis: lag.Milliseconds(),
	})
	time.Sleep(lag + time.Second)
	counter := &readCounter{}
	end := time.Now().Add(span)
	var done sync.WaitGroup
	for n := range readerCount {
		conn, err := f.Connect(ctx, n%len(f.Instances), "agent", database)
		if err != nil {
			return ReadsResult{}, err
		}
		done.Add(1)
		r := &reader{
			conn:    conn,
			id:      n + 1,
			lag:     lag,
			counter: counter,
			random:  rand.New(rand.NewPCG(1, uint64(n))),
		}
		spawnSession(&done, func() { r.run(ctx, end) })
	}
	done.Wait()
	return counter.finish(), nil
}

func (c *readCounter) finish() ReadsResult {
	r := c.result
	r.ReplicaPercent = float64(c.replicaReads) * percent / float64(max(r.Reads, 1))
	r.AllowedReplicaPercent = float64(c.allowedReplicaReads) * percent / float64(max(r.Allowed, 1))
	r.NaivePercent = float64(c.naiveReplicaReads) * percent / float64(max(r.Reads, 1))
	return r
}

// reader is one session that reads and writes with random pauses.
type reader struct {
	conn      *pgx.Conn
	id        int
	lag       time.Duration
	counter   *readCounter
	random    *rand.Rand
	wroteAt   time.Time
	lastWrite int
}

func (r *reader) run(ctx context.Context, end time.Time) {
	defer func() {
		_ = r.conn.Close(ctx)
	}()
	for time.Now().Before(end) {
		time.Sleep(time.Duration(r.random.ExpFloat64() * float64(meanThinkTime)))
		if r.random.IntN(percent) < writePercent {
			r.write(ctx)
			continue
		}
		r.read(ctx)
	}
}

func (r *reader) write(ctx context.Context) {
	id := r.id*1000000 + r.lastWrite + 1
	if _, err := r.conn.Exec(ctx, "INSERT INTO jobs (id, note) VALUES ($1, 'x')", id); err != nil {
		return
	}
	r.lastWrite++
	r.wroteAt = time.Now()
}

func (r *reader) read(ctx context.Context) {
	startedAt := time.Now()
	var got int
	err := r.conn.QueryRow(ctx, "SELECT count(*) FROM jobs WHERE id = $1", r.id*1000000+r.lastWrite).Scan(&got)
	if err != nil {
		return
	}
	var served string
	if err := r.conn.QueryRow(ctx, "SHOW rosemarylb.endpoint", pgx.QueryExecModeSimpleProtocol).Scan(&served); err != nil {
		return
	}
	r.counter.record(r, startedAt, strings.HasSuffix(served, "replica"), r.lastWrite > 0 && got == 0)
}

func (c *readCounter) record(r *reader, startedAt time.Time, fromReplica, stale bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Reads++
	if r.wroteAt.IsZero() {
		c.naiveReplicaReads++
	}
	if fromReplica {
		c.replicaReads++
	}
	if stale {
		c.result.Stale++
	}
	if r.wroteAt.IsZero() || startedAt.Sub(r.wroteAt) > r.lag {
		c.result.Allowed++
		if fromReplica {
			c.allowedReplicaReads++
		}
	}
}
