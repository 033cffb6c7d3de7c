package proxy

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/outlier"

	"github.com/VictoriaMetrics/metrics"
)

var (
	ejectionsTotal = metrics.NewCounter(`rosemarylb_proxy_ejections_total`)
	returnsTotal   = metrics.NewCounter(`rosemarylb_proxy_ejections_ended_total`)
)

// isEndpointFailure reports whether a reply says that the endpoint failed, and not that
// it has no capacity, lags, or that the statement itself is at fault.
func isEndpointFailure(code rosemarylb.ReplyCode) bool {
	switch code {
	case rosemarylb.ReplyAborted, rosemarylb.ReplyTimeout, rosemarylb.ReplyOther:
		return true
	default:
		return false
	}
}

// recordQueryOutcome records what a reply says of an endpoint. Statements inside a
// transaction count for nothing, since earlier ones may be at fault.
func (p *Proxy) recordQueryOutcome(pq *pendingQuery, ep *endpointPool, code rosemarylb.ReplyCode, now time.Time) {
	failed := isEndpointFailure(code)
	if pq.inTransaction || !failed && code != rosemarylb.ReplyDone {
		return
	}
	p.recordOutcome(ep, outlier.Outcome{
		Failed:     failed,
		ReceivedAt: pq.sentAt.Add(p.networkCost(ep) / 2),
	}, now)
}

// recordUnanswered records that an endpoint did not answer, or broke a connection.
func (p *Proxy) recordUnanswered(ep *endpointPool, now time.Time) {
	p.recordOutcome(ep, outlier.Outcome{
		Failed: true,
	}, now)
}

func (p *Proxy) recordOutcome(ep *endpointPool, o outlier.Outcome, now time.Time) {
	g, id := ep.group, ep.spec.ID
	before := g.balancing.detector.State(id, now)
	g.balancing = g.balancing.withOutcome(id, o, now)
	after := g.balancing.detector.State(id, now)
	switch {
	case before == after:
	case after == outlier.StateEjected:
		ejectionsTotal.Inc()
		p.log.Warn("endpoint ejected", "endpoint", id, "group", g.name, "before", before.String(),
			"failed", o.Failed)
	case before == outlier.StateProbed:
		returnsTotal.Inc()
		p.log.Info("endpoint returned", "endpoint", id, "group", g.name)
	}
}
