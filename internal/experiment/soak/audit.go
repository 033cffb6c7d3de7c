package soak

import (
	"maps"
	"slices"
	"strings"
	"time"

	"rosemarylb/internal/standin/line"
	"rosemarylb/internal/standin/objects"
)

// groupRecord is what endpoints and callers saw of one group, by identity.
type groupRecord struct {
	name    string
	ran     []line.Run
	history []line.Commit
	runs    map[string][]line.Run
	commits map[string][]line.Commit
	// acknowledged are the commits that callers were told of and that no
	// promotion dropped.
	acknowledged []acknowledged
}

// acknowledged is a commit that a caller was told of.
type acknowledged struct {
	commit  line.Commit
	at      time.Time
	session int
}

// audit compares what callers were told with what endpoints ran. What callers
// know is copied first and what they sent last, so that a run under way shows
// nothing that the other side doesn't know yet.
func (l *Ledger) audit(groups map[string]*line.Group) {
	attempts := l.copyAttempts()
	all := map[string]*groupRecord{}
	for name, g := range groups {
		all[name] = &groupRecord{
			name:    name,
			ran:     g.Runs(),
			history: g.History(),
			runs:    map[string][]line.Run{},
			commits: map[string][]line.Commit{},
		}
	}
	sent := l.copySent()
	for _, b := range all {
		l.auditRuns(b, sent)
		l.auditHistory(b, sent)
	}
	for _, a := range attempts {
		if b := all[a.group]; a.done && a.commit != "" {
			l.auditCommit(a, b)
		}
	}
	for _, b := range all {
		slices.SortFunc(b.acknowledged, func(x, y acknowledged) int { return x.at.Compare(y.at) })
	}
	for _, a := range attempts {
		l.auditAttempt(a, all[a.group])
	}
}

// auditRuns looks for statements that ran and that nobody asked for, or not so.
func (l *Ledger) auditRuns(b *groupRecord, sent map[string]query) {
	owners := map[int]*attempt{}
	for _, r := range b.ran {
		b.runs[r.ID] = append(b.runs[r.ID], r)
		q, known := sent[r.ID]
		switch {
		case !known:
			l.violatef("UNASKED: %s ran %s %q, which no caller sent", r.Server, r.ID, r.Text)
			continue
		case sameText(q.text) != sameText(r.Text):
			l.violatef("UNASKED: %s ran %s as %q, sent as %q", r.Server, r.ID, r.Text, q.text)
		case q.attempt.group != b.name:
			l.violatef("ROUTE: %s of %s ran at %s of %s", r.ID, q.attempt.group, r.Server, b.name)
		case r.Shape != q.shape || !maps.Equal(r.Values, q.values):
			l.violatef("PINNED: %s ran with shape %q and values %v, want %q and %v", r.ID, r.Shape, r.Values, q.shape, q.values)
		}
		if o, other := owners[r.Transaction]; other && o != q.attempt {
			l.violatef("PINNED: %s ran inside the transaction of another caller", r.ID)
		}
		owners[r.Transaction] = q.attempt
	}
}

// auditHistory looks for writes that were committed twice, or not as asked.
func (l *Ledger) auditHistory(b *groupRecord, sent map[string]query) {
	for _, c := range b.history {
		for _, id := range c.IDs {
			b.commits[id] = append(b.commits[id], c)
			if len(b.commits[id]) > 1 {
				l.violatef("TWICE: %s was committed twice", id)
			}
		}
		last := c.IDs[len(c.IDs)-1]
		if q, known := sent[last]; known && q.attempt.commit != last {
			l.violatef("UNASKED: %s was committed by %s, want by %s", c.IDs[0], last, q.attempt.commit)
		}
	}
}

// sameText returns a statement without the name of what was prepared, which
// the proxy may change.
func sameText(text string) string {
	f := strings.SplitN(text, " ", 3)
	if len(f) == 3 && f[0] == "EXECUTE" {
		return f[0] + " " + f[2]
	}
	return text
}

// auditCommit looks at a commit that a caller was told of.
func (l *Ledger) auditCommit(a *attempt, b *groupRecord) {
	commits := b.commits[a.commit]
	writes := slices.ContainsFunc(a.queries, func(q *query) bool { return q.writes() })
	if len(commits) == 0 {
		if writes {
			l.violatef("MIXED: %s was answered with success and never committed", a.commit)
		}
		return
	}
	c := commits[0]
	if c.Superseded {
		l.violatef("ONE: %s was committed at a replaced primary and acknowledged", a.commit)
	}
	if !c.RolledBack {
		b.acknowledged = append(b.acknowledged, acknowledged{
			commit:  c,
			at:      a.doneAt,
			session: a.session,
		})
	}
}

func (q *query) writes() bool {
	return !q.control && (strings.HasPrefix(q.text, "WRITE") || strings.HasPrefix(q.text, "EXECUTE") && strings.HasPrefix(q.shape, "w"))
}

// auditAttempt looks at the answers of one operation.
func (l *Ledger) auditAttempt(a *attempt, b *groupRecord) {
	transactions := map[int]bool{}
	for _, q := range a.queries {
		if a.promised && len(b.commits[q.id]) > 0 {
			l.violatef("REFUSED: %s was committed though the caller was told that nothing is kept", q.id)
		}
		if !q.served || q.control {
			continue
		}
		r, found := match(b.runs[q.id], q)
		if !found {
			l.violatef("MIXED: %s %q was answered with %v %s, which no endpoint gave", q.id, q.text, q.rows, q.signature)
			continue
		}
		transactions[r.Transaction] = true
		if strings.HasPrefix(q.text, "READ") {
			l.auditRead(a, q, r, b)
		}
	}
	if len(transactions) > 1 {
		l.violatef("PINNED: the transaction of %s ran on several connections", a.queries[0].id)
	}
}

func match(runs []line.Run, q *query) (line.Run, bool) {
	for _, r := range runs {
		if r.Signature == q.signature && slices.Equal(r.Rows, q.rows) {
			return r, true
		}
	}
	return line.Run{}, false
}

// auditRead looks for commits that a read had to see.
func (l *Ledger) auditRead(a *attempt, q *query, r line.Run, b *groupRecord) {
	for _, c := range b.acknowledged {
		if !c.at.Before(a.startedAt) {
			return
		}
		due := c.at.Before(a.startedAt.Add(-a.staleness)) || a.own && c.session == a.session
		if due && !r.Sees(c.commit) {
			l.violatef("STALE: %s at %s misses %s, acknowledged %d ms before", q.id, r.Server, c.commit.IDs[0],
				a.startedAt.Sub(c.at).Milliseconds())
			return
		}
	}
}

// auditOrders looks at the orders to promote: tokens never fall, and each has
// one holder.
func (l *Ledger) auditOrders(orders []objects.Order) {
	highest := uint64(0)
	holders := map[uint64]string{}
	for _, o := range orders {
		if o.Token < highest {
			l.violatef("ONE: %s ordered with token %d after %d", o.Holder, o.Token, highest)
		}
		highest = max(highest, o.Token)
		if h, known := holders[o.Token]; known && h != o.Holder {
			l.violatef("ONE: token %d was used by %s and %s", o.Token, h, o.Holder)
		}
		holders[o.Token] = o.Holder
	}
}
