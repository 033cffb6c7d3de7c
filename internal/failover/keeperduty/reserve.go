package keeperduty

import (
	"log/slog"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/traffic/quota"

	"github.com/VictoriaMetrics/metrics"
)

var (
	reserveRequestsTotal = metrics.NewCounter(`rosemarylb_keeper_quota_requests_total`)
	grantedTokensTotal   = metrics.NewCounter(`rosemarylb_keeper_quota_granted_total`)
	heldOperationsTotal  = metrics.NewCounter(`rosemarylb_keeper_quota_held_total`)
)

// tokenGrants is the ledger of the present lease with the newest configuration.
type tokenGrants struct {
	tolerance quota.Tolerance

	tenure  keeper.Tenure
	catalog rosemarylb.Catalog
	ledger  quota.Ledger
}

// withCatalog applies a configuration.
func (g tokenGrants) withCatalog(c rosemarylb.Catalog, now time.Time) tokenGrants {
	if !c.Supersedes(g.catalog) {
		return g
	}
	g.catalog = c
	if !g.tenure.TakenAt.IsZero() {
		g.ledger = g.ledger.WithCatalog(c, now)
	}
	return g
}

// withTenure starts a new ledger with each new lease.
func (g tokenGrants) withTenure(t keeper.Tenure, log *slog.Logger) tokenGrants {
	if t == g.tenure {
		return g
	}
	g.tenure = t
	g.ledger = quota.NewLedger(quota.Tenure{
		GrantsFrom: t.GrantsFrom,
		Members:    t.Members,
		First:      t.First,
	}, g.catalog, quota.WithTolerance(g.tolerance))
	log.Info("quota ledger started", "members", t.Members, "first", t.First,
		"fills-in-ms", t.GrantsFrom.Sub(t.TakenAt).Milliseconds())
	return g
}

// advanced returns the grants at a later time. There has to be a tenure.
func (g tokenGrants) advanced(now time.Time) tokenGrants {
	g.ledger = g.ledger.Advanced(now)
	return g
}

// handleReserve replies at once. The reply is dropped if the requester does not
// receive it.
func (r *Runner) handleReserve(e ReserveRequested, now time.Time) {
	reserveRequestsTotal.Inc()
	var may bool
	var reply quota.Reply
	if r.keeper, may = r.keeper.MayGrant(now); may {
		r.tokens = r.tokens.withTenure(r.keeper.Tenure(), r.log)
		r.tokens.ledger, reply = r.tokens.ledger.WithRequest(e.Request, now)
	}
	for _, g := range reply.Grants {
		grantedTokensTotal.Add(g.Tokens)
		heldOperationsTotal.Add(g.Held)
	}
	select {
	case e.Reply <- reply:
	default:
	}
}
