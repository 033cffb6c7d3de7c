package endpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"rosemarylb"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	// replicaApplicationName is the prefix of the application name that a
	// replica connects with.
	replicaApplicationName = "replica"
	// applyPollInterval is the interval at which received entries are checked
	// against the apply lag.
	applyPollInterval = time.Millisecond
	// upstreamRetryDelay is the delay between attempts to reach the upstream.
	upstreamRetryDelay = 5 * time.Millisecond
	// pullWaitTimeout bounds how long the upstream holds a pull request while it
	// has no new entry.
	pullWaitTimeout = 50 * time.Millisecond
	// pullTimeout bounds one pull request, so that a replica leaves an
	// unresponsive upstream soon after a new one is assigned.
	pullTimeout = 200 * time.Millisecond
	// maxPullEntries is the maximum number of entries in one pull response.
	maxPullEntries = 256
)

var errDiverged = errors.New("log diverged from the upstream and cannot be truncated")

// pullResponse is the response of the upstream to a pull request.
type pullResponse struct {
	Term    rosemarylb.Term `json:"term"`
	Matches bool            `json:"matches"`
	Entries []logEntry      `json:"entries"`
	Last    rosemarylb.LSN  `json:"last"`
}

// replicate pulls entries from the upstream until the endpoint stops.
func (s *Server) replicate(ctx context.Context) {
	defer s.goroutines.Done()
	var conn *pgconn.PgConn
	connUpstream := ""
	for ctx.Err() == nil {
		upstream := s.upstream()
		if conn != nil && (upstream != connUpstream || s.replicationPaused()) {
			_ = conn.Close(ctx)
			conn = nil
		}
		if upstream == "" || s.replicationPaused() {
			time.Sleep(upstreamRetryDelay)
			continue
		}
		if conn == nil {
			conn = s.connectUpstream(ctx, upstream)
			connUpstream = upstream
		}
		if conn == nil {
			time.Sleep(upstreamRetryDelay)
			continue
		}
		if err := s.pull(ctx, conn); err != nil {
			_ = conn.Close(ctx)
			conn = nil
			time.Sleep(upstreamRetryDelay)
		}
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

// upstream returns the address of the primary to replicate from. It is empty on
// a primary and before one is assigned.
func (s *Server) upstream() string {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	if s.log.isPrimary {
		return ""
	}
	return s.log.upstream
}

// replicationPaused reports whether a fault stops replication.
func (s *Server) replicationPaused() bool {
	faults := s.faults.get()
	return faults.Down || faults.Unresponsive || faults.ReplicationStopped
}

// connectUpstream connects to the upstream. It returns nil when the attempt
// fails.
func (s *Server) connectUpstream(ctx context.Context, upstream string) *pgconn.PgConn {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	conn, err := pgconn.Connect(ctx, fmt.Sprintf(
		"postgres://replica@%s/replica?sslmode=disable&application_name=%s-%s", upstream, replicaApplicationName, s.name))
	if err != nil {
		return nil
	}
	return conn
}

// pull fetches the next entries and appends them to the log. It removes the
// last entry when the log of the upstream does not contain it.
func (s *Server) pull(ctx context.Context, conn *pgconn.PgConn) error {
	s.log.mu.Lock()
	from := s.log.position(s.log.lastLSN())
	s.log.mu.Unlock()
	requestedAt := time.Now()
	query := fmt.Sprintf("SELECT rosemarylb_log(%d, %d)", from.LSN, from.Term)
	pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	results, err := conn.Exec(pullCtx, query).ReadAll()
	if err != nil {
		return errors.Wrap(err, "pull")
	}
	var response pullResponse
	if err := json.Unmarshal(results[0].Rows[0][0], &response); err != nil {
		return errors.Wrap(err, "pull")
	}
	if !response.Matches {
		return s.truncateFrom(response.Term, from.LSN)
	}
	for _, e := range response.Entries {
		if err := s.storeEntry(ctx, response.Term, e); err != nil {
			return err
		}
	}
	s.recordCaughtUp(response, requestedAt)
	return nil
}

// storeEntry appends an entry to the log after the configured replication lag.
func (s *Server) storeEntry(ctx context.Context, term rosemarylb.Term, e logEntry) error {
	faults := s.faults.get()
	sleepUntil(ctx, e.CommittedAt.Add(time.Duration(faults.ReplicationLagMillis)*time.Millisecond))
	l := s.log
	l.mu.Lock()
	if l.term != term || l.isPrimary || s.replicationPaused() {
		l.mu.Unlock()
		return errors.New("the term changed or replication stopped during the pull")
	}
	l.append(e)
	if faults.ApplyLagMillis == 0 {
		s.applyUntil(l.lastLSN())
	}
	l.mu.Unlock()
	return nil
}

// applyDelayed applies received entries after the configured apply lag. It runs
// until the endpoint stops.
func (s *Server) applyDelayed(ctx context.Context) {
	defer s.goroutines.Done()
	for ctx.Err() == nil {
		time.Sleep(applyPollInterval)
		faults := s.faults.get()
		if faults.Unresponsive {
			continue
		}
		due := time.Now().Add(-time.Duration(faults.ReplicationLagMillis+faults.ApplyLagMillis) * time.Millisecond)
		l := s.log
		l.mu.Lock()
		until := l.appliedLSN
		for until < l.lastLSN() && l.entries[until].CommittedAt.Before(due) {
			until++
		}
		s.applyUntil(until)
		l.mu.Unlock()
	}
}

// sleepUntil waits until a moment or until the context ends.
func sleepUntil(ctx context.Context, until time.Time) {
	if wait := time.Until(until); wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// recordCaughtUp records the time of the pull request as the time at which the
// applied data was current, if all entries of the upstream are applied.
func (s *Server) recordCaughtUp(response pullResponse, requestedAt time.Time) {
	l := s.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == response.Term && l.appliedLSN >= response.Last {
		l.caughtUpAt = requestedAt
	}
}

// truncateFrom removes the entries from lsn on, which the upstream does not
// have. If they were applied, it rebuilds the data from the remaining log.
func (s *Server) truncateFrom(term rosemarylb.Term, lsn rosemarylb.LSN) error {
	l := s.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term || l.isPrimary || lsn == 0 {
		return errDiverged
	}
	l.entries = l.entries[:lsn-1]
	if l.appliedLSN < lsn {
		return nil
	}
	l.appliedLSN = 0
	rebuilt, err := newEngine()
	if err != nil {
		return err
	}
	s.engineMu.Lock()
	previous := s.engine
	s.engine = rebuilt
	s.engineMu.Unlock()
	s.applyUntil(l.lastLSN())
	go s.closeConnections(false)
	return errors.Wrap(previous.db.Close(), "close the in-memory database")
}

// encodeLogFrom returns the JSON response to a pull request: the entries after a
// position, if the log contains that position. A primary without newer entries
// waits for one up to pullWaitTimeout.
func (s *Server) encodeLogFrom(lsn rosemarylb.LSN, term rosemarylb.Term) string {
	l := s.log
	l.mu.Lock()
	if l.isPrimary && lsn == l.lastLSN() {
		appended := l.appended
		l.mu.Unlock()
		select {
		case <-appended:
		case <-time.After(pullWaitTimeout):
		}
		l.mu.Lock()
	}
	defer l.mu.Unlock()
	response := pullResponse{
		Term: l.term,
		Last: l.lastLSN(),
	}
	if l.isPrimary && lsn <= l.lastLSN() && l.position(lsn) == (rosemarylb.Position{
		Term: term,
		LSN:  lsn,
	}) {
		response.Matches = true
		response.Entries = l.entries[lsn:min(l.lastLSN(), lsn+maxPullEntries)]
	}
	if !l.isPrimary {
		// Only a primary serves its log; term 0 matches the term of no replica.
		response.Term = 0
	}
	text, err := json.Marshal(response)
	if err != nil {
		panic(errors.Wrap(err, "encode log entries"))
	}
	return string(text)
}

// formatMillis formats a duration in milliseconds, and a negative one as -1.
func formatMillis(d time.Duration) string {
	if d < 0 {
		return "-1"
	}
	return strconv.FormatInt(d.Milliseconds(), 10)
}
