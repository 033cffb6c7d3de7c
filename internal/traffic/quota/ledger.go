package quota

import (
	"time"

	"rosemarylb"

	"github.com/benbjohnson/immutable"
)

const (
	// sweepInterval is the time between two checks of all instances for silent ones.
	sweepInterval = 50 * time.Millisecond
	// maxAdvanceGap is the time between two calls above which the keeper is taken to
	// have been paused. All instances may have used their standing rates meanwhile.
	maxAdvanceGap = 100 * time.Millisecond
)

// Tenure describes how a keeper came to hold the lease.
type Tenure struct {
	// GrantsFrom is when the predecessor can no longer grant tokens.
	GrantsFrom time.Time
	// Members is the number of instances that the predecessor counted, 0 if unknown.
	Members int
	// First is true if no instance held the lease before.
	First bool
}

// Ledger is the keeper's account of the tokens and standing rates of all teams. It is
// immutable.
type Ledger struct {
	catalog         rosemarylb.Catalog
	tolerance       Tolerance
	grantsFrom      time.Time
	unreportedUntil time.Time
	reducedUntil    time.Time
	steadyFrom      time.Time
	expectedMembers int
	seenMembers     int
	advancedAt      time.Time
	sweptAt         time.Time
	// The maps hold pointers, as they copy their values in blocks. The values are not
	// modified.
	buckets *immutable.Map[string, *bucket]
	members *immutable.Map[string, *member]
}

// LedgerOption configures a Ledger.
type LedgerOption func(*Ledger)

// WithTolerance sets by how much teams may exceed their quotas. The default is by
// nothing but the lifetime of a token.
func WithTolerance(t Tolerance) LedgerOption {
	return func(l *Ledger) {
		l.tolerance = t
	}
}

// NewLedger returns the ledger of a keeper that has just taken the lease.
func NewLedger(t Tenure, catalog rosemarylb.Catalog, options ...LedgerOption) Ledger {
	l := Ledger{
		catalog:         catalog,
		grantsFrom:      t.GrantsFrom,
		unreportedUntil: t.GrantsFrom.Add(standingLifetime),
		reducedUntil:    t.GrantsFrom.Add(window),
		steadyFrom:      t.GrantsFrom.Add(window + tokenLifetime),
		expectedMembers: t.Members,
		buckets:         immutable.NewMap[string, *bucket](nil),
		members:         immutable.NewMap[string, *member](nil),
	}
	if t.First {
		l.unreportedUntil = t.GrantsFrom
		l.steadyFrom = t.GrantsFrom
	}
	for _, o := range options {
		o(&l)
	}
	return l
}

// WithCatalog applies a configuration. Lower limits take effect at once.
func (l Ledger) WithCatalog(c rosemarylb.Catalog, now time.Time) Ledger {
	if !c.Supersedes(l.catalog) {
		return l
	}
	l = l.Advanced(now)
	l.catalog = c
	for i := l.buckets.Iterator(); !i.Done(); {
		name, b, _ := i.Next()
		t, _ := c.Team(rosemarylb.TeamName(name))
		l = l.withBucket(b.settled(now, l.unreportedUntil).withLimits(t, now))
	}
	return l
}

// Advanced returns the ledger at a later time. It has to be called more often than
// maxAdvanceGap, or the buckets gain less.
func (l Ledger) Advanced(now time.Time) Ledger {
	if !l.advancedAt.IsZero() && now.Sub(l.advancedAt) > maxAdvanceGap {
		l = l.withPause(now)
	}
	l.advancedAt = now
	if now.Sub(l.sweptAt) < sweepInterval {
		return l
	}
	l.sweptAt = now
	for i := l.members.Iterator(); !i.Done(); {
		id, m, _ := i.Next()
		switch {
		case m.isExpired(now):
			l = l.withoutHoldings(m.holdings, m.silent, now)
			l.members = l.members.Delete(id)
		case !m.silent && m.isSilent(now):
			l = l.withSilence(*m, now)
			silent := *m
			silent.silent = true
			l.members = l.members.Set(id, &silent)
		}
	}
	return l
}

// withPause fills the buckets as if all standing rates had been in use until now.
func (l Ledger) withPause(now time.Time) Ledger {
	for i := l.buckets.Iterator(); !i.Done(); {
		_, b, _ := i.Next()
		used := b.promisedMillis
		if b.settledAt.Before(l.unreportedUntil) {
			used += b.unreportedMillis()
		}
		l = l.withBucket(b.settled(l.advancedAt, l.unreportedUntil).filled(now, used))
	}
	return l
}

// bucket returns the bucket of a team that has a quota, settled at the given time.
func (l Ledger) bucket(t rosemarylb.Team, now time.Time) bucket {
	if b, found := l.buckets.Get(string(t.Name)); found {
		return b.settled(now, l.unreportedUntil)
	}
	b := bucket{
		team:      t.Name,
		rate:      rateOf(t),
		burst:     burstOf(t),
		settledAt: l.grantsFrom,

		tolerance:  l.tolerance,
		steadyFrom: l.steadyFrom,
	}
	return b.settled(now, l.unreportedUntil)
}

// withBucket replaces the bucket of a team.
func (l Ledger) withBucket(b bucket) Ledger {
	l.buckets = l.buckets.Set(string(b.team), &b)
	return l
}

// withoutHoldings subtracts holdings of a member from the buckets.
func (l Ledger) withoutHoldings(holdings []holding, silent bool, now time.Time) Ledger {
	for _, h := range holdings {
		if b, found := l.buckets.Get(h.team); found {
			l = l.withBucket(b.settled(now, l.unreportedUntil).withHolding(h, silent, -1))
		}
	}
	return l
}

// withSilence counts the standing rates of a member as in use from now on.
func (l Ledger) withSilence(m member, now time.Time) Ledger {
	for _, h := range m.holdings {
		if b, found := l.buckets.Get(h.team); found && h.standingMillis > 0 {
			next := b.settled(now, l.unreportedUntil)
			next.silentMillis += h.standingMillis
			l = l.withBucket(next)
		}
	}
	return l
}

// WithRequest answers a request that was received now. A request that arrives after a
// later one of the same instance is not answered.
func (l Ledger) WithRequest(r Request, now time.Time) (Ledger, Reply) {
	l = l.Advanced(now)
	var former, m member
	known, found := l.members.Get(string(r.From))
	switch {
	case !found:
		l = l.withMemberSeen(now)
	case known.isStale(r):
		return l, Reply{}
	default:
		former = *known
	}
	m = former.withRequest(r, now)
	reply := Reply{
		Answered: true,
	}
	for _, d := range r.Demands {
		var h holding
		h, former = former.withHoldingTaken(string(d.Team))
		var g Grant
		l, m, g = l.withDemand(m, d, h, former.silent, now)
		if r.CatalogVersion > l.catalog.Version {
			// The later limit may be lower, and the instance does not cut this rate again.
			g.StandingMillis = 0
		}
		reply.Grants = append(reply.Grants, g)
	}
	l = l.withoutHoldings(former.holdings, former.silent, now)
	l.members = l.members.Set(string(r.From), &m)
	return l, reply
}

// withMemberSeen counts an instance. Once as many have reported as the predecessor
// counted, no standing rate is unreported.
func (l Ledger) withMemberSeen(now time.Time) Ledger {
	l.seenMembers++
	if l.seenMembers == l.expectedMembers && now.Before(l.unreportedUntil) {
		// The rates of this last instance enter the buckets at the same time.
		l.unreportedUntil = now
	}
	return l
}

// withDemand answers one demand of a member. Its holding for the team replaces the
// former one, which counted as in use if the member was silent.
func (l Ledger) withDemand(m member, d Demand, former holding, wasSilent bool, now time.Time) (Ledger, member, Grant) {
	t, found := l.catalog.Team(d.Team)
	if !found || !t.HasQuota() {
		l = l.withoutHoldings([]holding{former}, wasSilent, now)
	}
	if !found {
		// The instance may know a later configuration.
		return l, m, Grant{
			Held: d.Waiting,
		}
	}
	if !t.HasQuota() {
		return l, m, Grant{
			Tokens: d.Wanted,
		}
	}
	b := l.bucket(t, now).withHolding(former, wasSilent, -1)
	b, g := l.grant(b, d, now)
	h := holding{
		team:           string(d.Team),
		standingMillis: max(g.StandingMillis, d.StandingMillis),
		demandMillis:   d.RateMillis,
	}
	m.holdings = append(m.holdings, h)
	return l.withBucket(b.withHolding(h, m.silent, 1)), m, g
}

// grant answers a demand from a bucket without the holding of the instance.
func (l Ledger) grant(b bucket, d Demand, now time.Time) (bucket, Grant) {
	var g Grant
	b, g.Tokens = b.withGrant(d.Wanted, now)
	g.StandingMillis = l.standingMillis(b, d, now)
	short := d.Waiting - g.Tokens
	if short <= 0 {
		return b, g
	}
	credit := b.credit(now.Before(l.reducedUntil))
	share := float64(d.RateMillis) / float64(max(b.demandMillis+d.RateMillis, 1))
	if credit >= 1 {
		g.Held = min(short, max(int(credit*share), 1))
	}
	if g.Held < short {
		g.RetryMillis = b.retryMillis(credit - float64(g.Held))
	}
	return b, g
}

// standingMillis returns an instance's standing rate: its share of the demand, of what
// other instances do not hold.
func (l Ledger) standingMillis(b bucket, d Demand, now time.Time) int64 {
	limit := b.standingLimitMillis()
	available := limit - b.promisedMillis
	if now.Before(l.unreportedUntil) {
		available = min(available, d.StandingMillis)
	}
	share := int64(float64(limit) * float64(d.RateMillis) / float64(max(b.demandMillis+d.RateMillis, 1)))
	if d.Deputy {
		// Other instances ask the deputy for what they have no standing rate for.
		share = limit
	}
	standing := min(share, available)
	if standing < minStandingMillis {
		return 0
	}
	return standing
}
