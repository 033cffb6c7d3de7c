package proxy

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"rosemarylb"
	"rosemarylb/internal/process/duty"
	"rosemarylb/internal/traffic/quota"

	"github.com/VictoriaMetrics/metrics"
)

// quotaRequestCapacity is the capacity of the ring of requests for tokens, of which one
// is in flight at a time.
const quotaRequestCapacity = 1

var (
	quotaAdmittedTotal = metrics.NewCounter(`rosemarylb_quota_admitted_total`)
	quotaRefusedTotal  = metrics.NewCounter(`rosemarylb_quota_refused_total`)
	quotaWaitedTotal   = metrics.NewCounter(`rosemarylb_quota_waited_total`)
	quotaWaiting       = metrics.NewGauge(`rosemarylb_quota_waiting`, nil)
	quotaStanding      = metrics.NewGauge(`rosemarylb_quota_standing`, nil)
)

// quotas holds the operations that wait for a token, and what the instance may admit.
type quotas struct {
	allowance quota.Allowance
	requests  *duty.Ring[quota.Request]
	// waiting are the waiting queries of each team in the order of their arrival. Those
	// whose session has ended are abandoned and removed by decideWaiting.
	waiting map[rosemarylb.TeamName][]*pendingQuery
	// deputies are the instances that grant tokens while the keeper does not answer, and
	// silentDeputies those that did not answer, with the time until which they are not
	// asked.
	deputies       quota.Deputies
	silentDeputies map[string]time.Time
	deputyRequests *duty.Ring[DeputyRequest]
	askingDeputy   bool
	// standing is true while the standing rates are in force.
	standing bool
}

func newQuotas() quotas {
	return quotas{
		allowance: quota.NewAllowance("", 0),
		requests:  duty.NewRing[quota.Request]("quota", quotaRequestCapacity),
		waiting:   map[rosemarylb.TeamName][]*pendingQuery{},

		silentDeputies: map[string]time.Time{},
		deputyRequests: duty.NewRing[DeputyRequest]("quota-deputies", quotaRequestCapacity),
	}
}

// WithQuotas sets the name of the instance under which it asks for tokens, and a number
// that increases with each start of it.
func WithQuotas(self rosemarylb.InstanceID, process uint64) Option {
	return func(p *Proxy) {
		p.quotas.allowance = quota.NewAllowance(self, process)
	}
}

// QuotaRequests returns the ring of requests for tokens. Each is answered with
// QuotaReplied.
func (p *Proxy) QuotaRequests() *duty.Ring[quota.Request] {
	return p.quotas.requests
}

// admit schedules a query, or lets it wait or refuses it if it begins an operation that
// the quota of its team does not allow yet. Relayed queries were admitted by the
// instance that relays them.
func (p *Proxy) admit(pq *pendingQuery, now time.Time) {
	if !pq.countsAsOperation() {
		p.schedule(pq, now)
		return
	}
	var verdict quota.Verdict
	p.quotas.allowance, verdict = p.quotas.allowance.WithOperation(pq.team, now)
	switch verdict {
	case quota.Admit:
		quotaAdmittedTotal.Inc()
		p.schedule(pq, now)
	case quota.Wait:
		quotaWaitedTotal.Inc()
		p.quotas.waiting[pq.team] = append(p.quotas.waiting[pq.team], pq)
	default:
		p.refuseOperation(pq, now)
	}
	p.sendQuotaRequest(now)
}

// countsAsOperation reports whether a query takes a token of its team's quota here.
func (pq *pendingQuery) countsAsOperation() bool {
	return !pq.isRelayed() && pq.team != "" && !pq.hasBegun()
}

// refuseOperation answers a query that was not run because of its team's quota.
func (p *Proxy) refuseOperation(pq *pendingQuery, now time.Time) {
	quotaRefusedTotal.Inc()
	p.complete(pq, quotaReply(p.quotas.allowance.RetryMillis(pq.team, now)), now)
}

// quotaReply returns the reply to an operation beyond its team's quota, which may be sent
// again after a time in milliseconds.
func quotaReply(retryMillis int64) rosemarylb.Reply {
	return rosemarylb.NewReply(rosemarylb.ReplyBusy, fmt.Sprintf("not run: quota, retry-after-ms=%d", retryMillis))
}

func (p *Proxy) applyQuotaReply(e QuotaReplied, now time.Time) {
	p.quotas.allowance = p.quotas.allowance.WithReply(e.Sequence, e.Reply, now)
	p.decideWaiting(now)
}

// decideWaiting decides on the waiting queries of all teams, and sends the request for
// tokens that is due.
func (p *Proxy) decideWaiting(now time.Time) {
	for _, team := range slices.Collect(maps.Keys(p.quotas.waiting)) {
		p.dropWaiting(team, now)
		p.admitWaiting(team, now)
		p.refuseWaiting(team, now)
		if len(p.quotas.waiting[team]) == 0 {
			delete(p.quotas.waiting, team)
		}
	}
	p.publishQuotas(now)
	p.sendQuotaRequest(now)
}

// publishQuotas sets the metrics, and logs when the standing rates come into force or
// end.
func (p *Proxy) publishQuotas(now time.Time) {
	waiting := p.quotas.allowance.Waiting()
	quotaWaiting.Set(float64(waiting))
	standing := p.quotas.allowance.UsesStandingRates(now)
	if standing == p.quotas.standing {
		return
	}
	p.quotas.standing = standing
	if standing {
		quotaStanding.Set(1)
		p.log.Warn("quota standing rates in force", "waiting", waiting)
		return
	}
	quotaStanding.Set(0)
	p.log.Info("quota standing rates ended", "waiting", waiting)
}

// dropWaiting removes the queries of sessions that have ended, and refuses those that
// have waited for too long. The list is replaced first, as a refusal may start the next
// query of the session.
func (p *Proxy) dropWaiting(team rosemarylb.TeamName, now time.Time) {
	var kept, expired []*pendingQuery
	for _, pq := range p.quotas.waiting[team] {
		switch {
		case pq.isAbandoned():
			p.quotas.allowance = p.quotas.allowance.WithoutWaiting(team)
		case !now.Before(pq.arrivedAt.Add(quota.MaxWait)), !now.Before(pq.deadline):
			p.quotas.allowance = p.quotas.allowance.WithoutWaiting(team)
			expired = append(expired, pq)
		default:
			kept = append(kept, pq)
		}
	}
	p.quotas.waiting[team] = kept
	for _, pq := range expired {
		p.refuseOperation(pq, now)
	}
}

// admitWaiting schedules the longest waiting queries for which there are tokens.
func (p *Proxy) admitWaiting(team rosemarylb.TeamName, now time.Time) {
	for len(p.quotas.waiting[team]) > 0 {
		var verdict quota.Verdict
		p.quotas.allowance, verdict = p.quotas.allowance.WithWaiting(team, now)
		if verdict != quota.Admit {
			return
		}
		pq := p.quotas.waiting[team][0]
		p.quotas.waiting[team] = p.quotas.waiting[team][1:]
		if pq.isAbandoned() {
			continue
		}
		quotaAdmittedTotal.Inc()
		p.schedule(pq, now)
	}
}

// refuseWaiting refuses the queries that are beyond the quota, the latest first.
func (p *Proxy) refuseWaiting(team rosemarylb.TeamName, now time.Time) {
	var beyond []*pendingQuery
	for n := len(p.quotas.waiting[team]); n > 0; n-- {
		var refused bool
		if p.quotas.allowance, refused = p.quotas.allowance.WithRefusal(team); !refused {
			break
		}
		beyond = append(beyond, p.quotas.waiting[team][n-1])
		p.quotas.waiting[team] = p.quotas.waiting[team][:n-1]
	}
	for _, pq := range beyond {
		p.refuseOperation(pq, now)
	}
}

// sendQuotaRequest sends the request for tokens that is due, if any.
func (p *Proxy) sendQuotaRequest(now time.Time) {
	a, request, due := p.quotas.allowance.WithRequest(now)
	if due && !p.quotas.requests.Offer(request) {
		a = a.WithoutReply(request.Sequence)
	}
	p.quotas.allowance = a
	p.askDeputy(now)
}
