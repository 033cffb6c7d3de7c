package quota

import (
	"time"

	"rosemarylb"

	"github.com/benbjohnson/immutable"
)

const (
	// minRequestInterval is the least time between two requests. Operations that arrive
	// within it share the second one.
	minRequestInterval = 10 * time.Millisecond
	// holdInterval is the time after which tokens are asked for again for operations
	// that the keeper let wait, or whose request was not answered.
	holdInterval = 50 * time.Millisecond
	// lostRequestTimeout is the time after which a request whose outcome was not
	// reported counts as unanswered.
	lostRequestTimeout = RequestTimeout + 50*time.Millisecond
)

// Verdict is the decision on an operation.
type Verdict uint8

// The verdicts.
const (
	// Admit means that the operation runs now.
	Admit Verdict = iota
	// Wait means that the operation waits for a token.
	Wait
	// Refuse means that the operation is beyond the limit.
	Refuse
)

// Allowance is what an instance may run under the quotas of all teams. It is
// immutable.
type Allowance struct {
	self      rosemarylb.InstanceID
	process   uint64
	catalog   rosemarylb.Catalog
	limitsAny bool
	// balances holds pointers, as it copies its values in blocks. The values are not
	// modified.
	balances     *immutable.Map[string, *balance]
	sequence     uint64
	acknowledged uint64
	// inFlight holds the teams of the request in flight, in its order.
	inFlight []rosemarylb.TeamName
	awaiting bool
	sentAt   time.Time
	// answeredAt is when the last answered request was sent, zero for none.
	answeredAt time.Time
	waiting    int
	// wanted is true when tokens are needed that no request has asked for, and holding
	// while the last request reported a demand or a standing rate.
	wanted  bool
	holding bool
	// reportDue is true until the present keeper has answered a request.
	reportDue bool
	// deputyTeams are the teams whose deputy this instance is.
	deputyTeams   map[rosemarylb.TeamName]struct{}
	askDeputiesAt time.Time
}

// NewAllowance returns the allowance of an instance that knows no configuration. The
// process number has to increase with each start of the instance.
func NewAllowance(self rosemarylb.InstanceID, process uint64) Allowance {
	return Allowance{
		self:     self,
		process:  process,
		balances: immutable.NewMap[string, *balance](nil),
	}
}

// WithCatalog applies a configuration. The tokens of teams without a quota are
// dropped, and the standing rates of teams with a lower one fall with it: the keeper may
// be silent until they expire.
func (a Allowance) WithCatalog(c rosemarylb.Catalog) Allowance {
	former := a.catalog
	a.catalog = c
	a.limitsAny = false
	for t := range c.Teams() {
		a.limitsAny = a.limitsAny || t.HasQuota()
	}
	for i := a.balances.Iterator(); !i.Done(); {
		name, b, _ := i.Next()
		if !a.limits(rosemarylb.TeamName(name)) {
			a.waiting -= b.waiting
			a.balances = a.balances.Delete(name)
			continue
		}
		before, _ := former.Team(rosemarylb.TeamName(name))
		after, _ := c.Team(rosemarylb.TeamName(name))
		if rateOf(after) < rateOf(before) {
			lower := *b
			lower.standingMillis = int64(float64(b.standingMillis) * rateOf(after) / rateOf(before))
			a.balances = a.balances.Set(name, &lower)
		}
	}
	return a
}

// WithKeeperChanged makes the instance report its standing rates to a new keeper,
// which does not know them.
func (a Allowance) WithKeeperChanged() Allowance {
	a.reportDue = true
	return a
}

// limits reports whether a team has a quota.
func (a Allowance) limits(team rosemarylb.TeamName) bool {
	t, found := a.catalog.Team(team)
	return found && t.HasQuota()
}

// isSilent reports whether the keeper has not answered for so long that the standing
// rates are in force.
func (a Allowance) isSilent(now time.Time) bool {
	return !now.Before(a.answeredAt.Add(standingDelay))
}

// balance returns the balance of a team, the zero value if there is none.
func (a Allowance) balance(team rosemarylb.TeamName) balance {
	if b, found := a.balances.Get(string(team)); found {
		return *b
	}
	return balance{}
}

// WithOperation decides on an operation of a team that has just arrived. An operation
// that has to wait is counted as waiting; WithWaiting decides on it from then on.
func (a Allowance) WithOperation(team rosemarylb.TeamName, now time.Time) (Allowance, Verdict) {
	if !a.limits(team) {
		return a, Admit
	}
	b := a.balance(team).withArrival(now)
	verdict := Wait
	if b.waiting == 0 {
		b, verdict = a.decide(b, now)
	}
	if verdict == Wait && now.Before(b.retryAt) && !a.isSilent(now) {
		verdict = Refuse
	}
	if verdict == Wait {
		b.waiting++
		a.waiting++
	}
	a.wanted = a.wanted || verdict == Wait || b.needsTokens(now) && !now.Before(b.retryAt)
	a.balances = a.balances.Set(string(team), &b)
	return a, verdict
}

// decide admits an operation if there is a token for it, or the standing rate allows
// it while the keeper is silent.
func (a Allowance) decide(b balance, now time.Time) (balance, Verdict) {
	b, admitted := b.withTokenUsed(now)
	if !admitted && a.isSilent(now) {
		b, admitted = b.withStandingUsed(now)
	}
	if !admitted {
		return b, Wait
	}
	return b, Admit
}

// WithWaiting decides on the longest waiting operation of a team, which runs or waits
// on.
func (a Allowance) WithWaiting(team rosemarylb.TeamName, now time.Time) (Allowance, Verdict) {
	b := a.balance(team)
	if b.waiting == 0 {
		return a, Admit
	}
	b, verdict := a.decide(b, now)
	if verdict == Admit {
		b.waiting--
		a.waiting--
	}
	a.balances = a.balances.Set(string(team), &b)
	return a, verdict
}

// WithRefusal reports whether the operation of a team that began to wait last has to
// be refused, and counts it as refused.
func (a Allowance) WithRefusal(team rosemarylb.TeamName) (Allowance, bool) {
	b := a.balance(team)
	if b.refusals == 0 || b.waiting == 0 {
		return a, false
	}
	b.refusals--
	b.waiting--
	a.waiting--
	a.balances = a.balances.Set(string(team), &b)
	return a, true
}

// WithoutWaiting removes an operation that waits no longer.
func (a Allowance) WithoutWaiting(team rosemarylb.TeamName) Allowance {
	b := a.balance(team)
	if b.waiting == 0 {
		return a
	}
	b.waiting--
	a.waiting--
	b.refusals = min(b.refusals, b.waiting)
	a.balances = a.balances.Set(string(team), &b)
	return a
}

// RetryMillis is the time after which a refused operation may be sent again, in
// milliseconds and at least 1.
func (a Allowance) RetryMillis(team rosemarylb.TeamName, now time.Time) int64 {
	b := a.balance(team)
	if now.Before(b.retryAt) {
		return max(b.retryAt.Sub(now).Milliseconds(), 1)
	}
	t, _ := a.catalog.Team(team)
	return int64(min(max(1000/max(t.RatePerSecond, 1), 1), 1000))
}

// Next returns when the next request is due, or the request in flight counts as
// unanswered. It returns the zero time if nothing is due.
func (a Allowance) Next() time.Time {
	switch {
	case a.awaiting:
		return a.sentAt.Add(lostRequestTimeout)
	case a.wanted:
		return a.sentAt.Add(minRequestInterval)
	case a.waiting > 0 || a.reportDue && a.limitsAny:
		return a.sentAt.Add(holdInterval)
	case a.holding:
		return a.sentAt.Add(reportInterval)
	default:
		return time.Time{}
	}
}

// WithRequest returns the request that is due, or false if none is. The caller sends
// it after now.
func (a Allowance) WithRequest(now time.Time) (Allowance, Request, bool) {
	if next := a.Next(); next.IsZero() || now.Before(next) {
		return a, Request{}, false
	}
	a.sequence++
	a.inFlight = nil
	a.awaiting = true
	a.sentAt = now
	a.wanted = false
	a.holding = false
	r := Request{
		From:         a.self,
		Process:      a.process,
		Sequence:     a.sequence,
		Acknowledged: a.acknowledged,

		CatalogVersion: a.catalog.Version,
	}
	for i := a.balances.Iterator(); !i.Done(); {
		name, held, _ := i.Next()
		b := held.withoutExpired(now)
		if b.isIdle(now) && !a.isDeputy(rosemarylb.TeamName(name)) {
			a.balances = a.balances.Delete(name)
			continue
		}
		d := b.request(now)
		d.Team = rosemarylb.TeamName(name)
		d.Deputy = a.isDeputy(d.Team)
		b.asked = b.waiting
		a.balances = a.balances.Set(name, &b)
		if d.Wanted == 0 && d.RateMillis == 0 && d.StandingMillis == 0 && !d.Deputy {
			continue
		}
		a.holding = a.holding || d.RateMillis >= minStandingMillis || d.StandingMillis > 0 || d.Deputy
		a.inFlight = append(a.inFlight, d.Team)
		r.Demands = append(r.Demands, d)
	}
	return a, r, true
}

// WithReply applies the reply to a request. A reply that is not to the request in
// flight, or that arrives after RequestTimeout, is dropped.
func (a Allowance) WithReply(sequence uint64, r Reply, now time.Time) Allowance {
	if !a.awaiting || sequence != a.sequence {
		return a
	}
	if !r.Answered || len(r.Grants) != len(a.inFlight) || now.Sub(a.sentAt) > RequestTimeout {
		return a.WithoutReply(sequence)
	}
	a.awaiting = false
	a.reportDue = false
	a.acknowledged = sequence
	a.answeredAt = a.sentAt
	for i, team := range a.inFlight {
		held, found := a.balances.Get(string(team))
		if !found {
			continue
		}
		b := held.withGrant(r.Grants[i], a.sentAt, now)
		a.holding = a.holding || b.standingMillis > 0
		a.balances = a.balances.Set(string(team), &b)
	}
	return a
}

// WithoutReply records that a request was not answered.
func (a Allowance) WithoutReply(sequence uint64) Allowance {
	if a.awaiting && sequence == a.sequence {
		a.awaiting = false
	}
	return a
}

// UsesStandingRates reports whether the instance admits operations at its standing
// rates, because the keeper does not answer.
func (a Allowance) UsesStandingRates(now time.Time) bool {
	return a.holding && a.isSilent(now)
}

// Waiting returns the number of operations that wait.
func (a Allowance) Waiting() int {
	return a.waiting
}
