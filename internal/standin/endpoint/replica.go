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
	// replicaName is the application name of a replica's own connection.
	replicaName = "replica"
	// applyPoll is how often late entries are looked for.
	applyPoll = time.Millisecond
	// idlePause is the wait between two tries to reach the upstream.
	idlePause = 5 * time.Millisecond
	// pullWait is how long the upstream waits for a new entry.
	pullWait = 50 * time.Millisecond
	// pullTimeout bounds one exchange with the upstream, so that a silent one
	// is given up soon after another is named.
	pullTimeout = 200 * time.Millisecond
	// pullLimit is how many entries one pull returns.
	pullLimit = 256
)

var errDiverged = errors.New("the log differs from the upstream's")

// batch is one answer of the upstream.
type batch struct {
	Term    rosemarylb.Term `json:"term"`
	Matches bool            `json:"matches"`
	Entries []entry         `json:"entries"`
	Last    rosemarylb.LSN  `json:"last"`
}

// replicate pulls entries from the upstream until the endpoint stops.
func (s *Server) replicate(ctx context.Context) {
	defer s.done.Done()
	var link *pgconn.PgConn
	linked := ""
	for ctx.Err() == nil {
		upstream := s.upstream()
		if link != nil && (upstream != linked || s.muted()) {
			_ = link.Close(ctx)
			link = nil
		}
		if upstream == "" || s.muted() {
			time.Sleep(idlePause)
			continue
		}
		if link == nil {
			link = s.connect(ctx, upstream)
			linked = upstream
		}
		if link == nil {
			time.Sleep(idlePause)
			continue
		}
		if err := s.pull(ctx, link); err != nil {
			_ = link.Close(ctx)
			link = nil
			time.Sleep(idlePause)
		}
	}
	if link != nil {
		_ = link.Close(context.Background())
	}
}

func (s *Server) upstream() string {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	if s.history.primary {
		return ""
	}
	return s.history.upstream
}

func (s *Server) muted() bool {
	f := s.faults.get()
	return f.Down || f.Frozen || f.ReplicationCut
}

func (s *Server) connect(ctx context.Context, upstream string) *pgconn.PgConn {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	link, err := pgconn.Connect(ctx, fmt.Sprintf(
		"postgres://replica@%s/replica?sslmode=disable&application_name=%s-%s", upstream, replicaName, s.name))
	if err != nil {
		return nil
	}
	return link
}

// pull fetches and stores the next entries.
func (s *Server) pull(ctx context.Context, link *pgconn.PgConn) error {
	s.history.mu.Lock()
	from := s.history.position(s.history.last())
	s.history.mu.Unlock()
	askedAt := time.Now()
	query := fmt.Sprintf("SELECT rosemarylb_log(%d, %d)", from.LSN, from.Term)
	exchange, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answers, err := link.Exec(exchange, query).ReadAll()
	if err != nil {
		return errors.Wrap(err, "pull")
	}
	var b batch
	if err := json.Unmarshal(answers[0].Rows[0][0], &b); err != nil {
		return errors.Wrap(err, "pull")
	}
	if !b.Matches {
		return s.truncate(b.Term, from.LSN)
	}
	for _, e := range b.Entries {
		if err := s.receive(ctx, b.Term, e); err != nil {
			return err
		}
	}
	s.caughtUp(b, askedAt)
	return nil
}

// receive stores one entry after the configured lags.
func (s *Server) receive(ctx context.Context, term rosemarylb.Term, e entry) error {
	f := s.faults.get()
	pause(ctx, e.CommittedAt.Add(time.Duration(f.LagMillis)*time.Millisecond))
	h := s.history
	h.mu.Lock()
	if h.term != term || h.primary || s.muted() {
		h.mu.Unlock()
		return errors.New("the term has passed")
	}
	h.append(e)
	if f.ApplyLagMillis == 0 {
		s.catchUp(h.last())
	}
	h.mu.Unlock()
	return nil
}

// applyLate applies received entries after the configured apply lag.
func (s *Server) applyLate(ctx context.Context) {
	defer s.done.Done()
	for ctx.Err() == nil {
		time.Sleep(applyPoll)
		f := s.faults.get()
		if f.Frozen {
			continue
		}
		due := time.Now().Add(-time.Duration(f.LagMillis+f.ApplyLagMillis) * time.Millisecond)
		h := s.history
		h.mu.Lock()
		until := h.applied
		for until < h.last() && h.entries[until].CommittedAt.Before(due) {
			until++
		}
		s.catchUp(until)
		h.mu.Unlock()
	}
}

func pause(ctx context.Context, until time.Time) {
	if wait := time.Until(until); wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// caughtUp notes as of when the endpoint has all that its upstream had.
func (s *Server) caughtUp(b batch, askedAt time.Time) {
	h := s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term == b.Term && h.applied >= b.Last {
		h.current = askedAt
	}
}

// truncate drops the entry at lsn, which the upstream does not have, and
// builds the data anew.
func (s *Server) truncate(term rosemarylb.Term, lsn rosemarylb.LSN) error {
	h := s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term != term || h.primary || lsn == 0 {
		return errDiverged
	}
	h.entries = h.entries[:lsn-1]
	if h.applied < lsn {
		return nil
	}
	h.applied = 0
	data, err := newEngine()
	if err != nil {
		return err
	}
	s.dataMu.Lock()
	old := s.data
	s.data = data
	s.dataMu.Unlock()
	s.catchUp(h.last())
	go s.closeConnections(false)
	return errors.Wrap(old.db.Close(), "close the engine")
}

// logFrom answers a pull, after a short wait when there is nothing new.
func (s *Server) logFrom(lsn rosemarylb.LSN, term rosemarylb.Term) string {
	h := s.history
	h.mu.Lock()
	if h.primary && lsn == h.last() {
		grown := h.grown
		h.mu.Unlock()
		select {
		case <-grown:
		case <-time.After(pullWait):
		}
		h.mu.Lock()
	}
	defer h.mu.Unlock()
	b := batch{
		Term: h.term,
		Last: h.last(),
	}
	if h.primary && lsn <= h.last() && h.position(lsn) == (rosemarylb.Position{
		Term: term,
		LSN:  lsn,
	}) {
		b.Matches = true
		b.Entries = h.entries[lsn:min(h.last(), lsn+pullLimit)]
	}
	if !h.primary {
		// Nothing matches a term that has no primary here.
		b.Term = 0
	}
	text, err := json.Marshal(b)
	if err != nil {
		panic(errors.Wrap(err, "a log entry does not encode"))
	}
	return string(text)
}

func millis(d time.Duration) string {
	if d < 0 {
		return "-1"
	}
	return strconv.FormatInt(d.Milliseconds(), 10)
}
