package soak

import (
	"maps"
	"slices"
	"strings"
	"time"

	"rosemarylb/internal/standin/line"
	"rosemarylb/internal/standin/objects"
)

// groupRecord holds what was executed and committed in one replication group.
type groupRecord struct {
	name          string
	isSynchronous bool

	executions  []line.Execution
	history     []line.Commit
	runsByID    map[string][]line.Execution
	commitsByID map[string][]line.Commit
	// acknowledged holds the acknowledged commits that no promotion rolled back,
	// ordered by time of acknowledgement.
	acknowledged []acknowledgedCommit
}

// acknowledgedCommit is a commit whose success was reported to a session.
type acknowledgedCommit struct {
	commit         line.Commit
	acknowledgedAt time.Time
	session        int
}

// audit compares the replies that callers received with the statements that
// endpoints executed. It copies the replies before the endpoints' records, and
// the sent statements after them, so that it can run under load: every copied
// reply has its execution, and every copied execution has its sent statement.
func (rc *Recorder) audit(groups map[string]*line.Group) {
	operations := rc.copyOperations()
	records := map[string]*groupRecord{}
	for name, g := range groups {
		records[name] = &groupRecord{
			name:          name,
			isSynchronous: g.IsSynchronous(),
			executions:    g.Executions(),
			history:       g.History(),
			runsByID:      map[string][]line.Execution{},
			commitsByID:   map[string][]line.Commit{},
		}
	}
	sent := rc.copySent()
	for _, g := range records {
		rc.auditRuns(g, sent)
		rc.auditHistory(g, sent)
	}
	for _, op := range operations {
		if g := records[op.group]; op.succeeded && op.commitID != "" {
			rc.auditCommit(op, g)
		}
	}
	for _, g := range records {
		slices.SortFunc(g.acknowledged, func(x, y acknowledgedCommit) int { return x.acknowledgedAt.Compare(y.acknowledgedAt) })
	}
	for _, op := range operations {
		rc.auditOperation(op, records[op.group])
	}
}

// auditRuns checks that each executed statement was sent by a caller, and ran
// unchanged, in its group, with its session state and in its own transaction.
func (rc *Recorder) auditRuns(g *groupRecord, sent map[string]query) {
	owners := map[int]*operation{}
	for _, r := range g.executions {
		g.runsByID[r.ID] = append(g.runsByID[r.ID], r)
		q, known := sent[r.ID]
		switch {
		case !known:
			rc.recordViolationf("UNASKED: %s ran %s %q, which no caller sent", r.Server, r.ID, r.Text)
			continue
		case withoutPreparedName(q.text) != withoutPreparedName(r.Text):
			rc.recordViolationf("UNASKED: %s ran %s as %q, sent as %q", r.Server, r.ID, r.Text, q.text)
		case q.operation.group != g.name:
			rc.recordViolationf("ROUTE: %s of %s ran at %s of %s", r.ID, q.operation.group, r.Server, g.name)
		case r.Shape != q.shape || !maps.Equal(r.Settings, q.variables):
			rc.recordViolationf("PINNED: %s ran with shape %q and values %v, want %q and %v", r.ID, r.Shape, r.Settings, q.shape, q.variables)
		}
		if owner, found := owners[r.Transaction]; found && owner != q.operation {
			rc.recordViolationf("PINNED: %s ran inside the transaction of another caller", r.ID)
		}
		owners[r.Transaction] = q.operation
	}
}

// auditHistory checks that each write was committed once, by the statement that
// ends its operation.
func (rc *Recorder) auditHistory(g *groupRecord, sent map[string]query) {
	for _, c := range g.history {
		for _, id := range c.IDs {
			g.commitsByID[id] = append(g.commitsByID[id], c)
			if len(g.commitsByID[id]) > 1 {
				rc.recordViolationf("TWICE: %s was committed twice", id)
			}
		}
		last := c.IDs[len(c.IDs)-1]
		if q, known := sent[last]; known && q.operation.commitID != last {
			rc.recordViolationf("UNASKED: %s was committed by %s, want by %s", c.IDs[0], last, q.operation.commitID)
		}
	}
}

// withoutPreparedName returns the text without the name of a prepared statement,
// which the proxy may change.
func withoutPreparedName(text string) string {
	fields := strings.SplitN(text, " ", 3)
	if len(fields) == 3 && fields[0] == "EXECUTE" {
		return fields[0] + " " + fields[2]
	}
	return text
}

// auditCommit checks that an operation reported as committed was committed at the
// current primary.
func (rc *Recorder) auditCommit(op *operation, g *groupRecord) {
	commits := g.commitsByID[op.commitID]
	writes := slices.ContainsFunc(op.queries, func(q *query) bool { return q.isWrite() })
	if len(commits) == 0 {
		if writes {
			rc.recordViolationf("MIXED: %s was reported as committed and never was", op.commitID)
		}
		return
	}
	c := commits[0]
	if c.Superseded {
		rc.recordViolationf("ONE: %s was committed at a replaced primary and acknowledged", op.commitID)
	}
	if c.RolledBack && g.isSynchronous {
		rc.recordViolationf("LOST: %s was acknowledged after a replica had it, and is not in the log of the promoted one", op.commitID)
	}
	if !c.RolledBack {
		g.acknowledged = append(g.acknowledged, acknowledgedCommit{
			commit:         c,
			acknowledgedAt: op.succeededAt,
			session:        op.session,
		})
	}
}

func (q *query) isWrite() bool {
	return !q.answeredByProxy && (strings.HasPrefix(q.text, "WRITE") || strings.HasPrefix(q.text, "EXECUTE") && strings.HasPrefix(q.shape, "w"))
}

// auditOperation checks the replies of one operation.
func (rc *Recorder) auditOperation(op *operation, g *groupRecord) {
	transactions := map[int]bool{}
	for _, q := range op.queries {
		if op.reportedNotApplied && len(g.commitsByID[q.id]) > 0 {
			rc.recordViolationf("REFUSED: %s was committed although the reply said that it was not applied", q.id)
		}
		if !q.succeeded || q.answeredByProxy {
			continue
		}
		r, found := findRun(g.runsByID[q.id], q)
		if !found {
			rc.recordViolationf("MIXED: %s %q got the reply %v %s, which no endpoint sent", q.id, q.text, q.rows, q.signature)
			continue
		}
		transactions[r.Transaction] = true
		if strings.HasPrefix(q.text, "READ") {
			rc.auditRead(op, q, r, g)
		}
	}
	if len(transactions) > 1 {
		rc.recordViolationf("PINNED: the transaction of %s ran on several connections", op.queries[0].id)
	}
}

// findRun returns the execution that gave a query's reply.
func findRun(runs []line.Execution, q *query) (line.Execution, bool) {
	for _, r := range runs {
		if r.Signature == q.signature && slices.Equal(r.Rows, q.rows) {
			return r, true
		}
	}
	return line.Execution{}, false
}

// auditRead checks that a read saw the commits that its route guarantees: those
// older than the allowed staleness and, on a read-your-writes route, those of its
// own session.
func (rc *Recorder) auditRead(op *operation, q *query, r line.Execution, g *groupRecord) {
	for _, c := range g.acknowledged {
		if !c.acknowledgedAt.Before(op.startedAt) {
			return
		}
		required := c.acknowledgedAt.Before(op.startedAt.Add(-op.staleness)) || op.readYourWrites && c.session == op.session
		if required && !r.HasCommit(c.commit) {
			rc.recordViolationf("STALE: %s at %s misses %s, acknowledged %d ms before", q.id, r.Server, c.commit.IDs[0],
				op.startedAt.Sub(c.acknowledgedAt).Milliseconds())
			return
		}
	}
}

// auditPromotions checks that the fencing tokens of promotion requests never
// decrease and that each token has one holder.
func (rc *Recorder) auditPromotions(orders []objects.PromotionRequest) {
	highest := uint64(0)
	holders := map[uint64]string{}
	for _, o := range orders {
		if o.Token < highest {
			rc.recordViolationf("ONE: %s requested a promotion with token %d after token %d", o.Holder, o.Token, highest)
		}
		highest = max(highest, o.Token)
		if h, known := holders[o.Token]; known && h != o.Holder {
			rc.recordViolationf("ONE: token %d was used by %s and %s", o.Token, h, o.Holder)
		}
		holders[o.Token] = o.Holder
	}
}
