package instance

import (
	"context"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/failover/keeperduty"
	"rosemarylb/internal/failover/permit"
	"rosemarylb/internal/traffic/proxy"
)

// readRecord reads the keeper's record in the store and derives permits from it;
// they count from before the read. It returns false if there is no record or it cannot
// be read.
func (pr *PermitRequester) readRecord() bool {
	requestedAt := pr.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), recordReadTimeout)
	defer cancel()
	o, err := pr.store.Get(ctx, keeperduty.RecordName)
	if err != nil || !o.Version.Exists() {
		return false
	}
	r, err := keeper.ParseRecord(o.Value)
	if err != nil {
		pr.log.Error("the keeper's record cannot be read", "revision", o.Version.Revision, "error", err)
		return false
	}
	if r.Token > pr.holderHint.token && r.Address != "" {
		// The watch of the record may still wait for an answer of a store that was silent
		// when it began.
		pr.holderHint = leaseHolder{
			address: r.Address,
			token:   r.Token,
		}
	}
	if !pr.shareKnown && r.Members > 0 {
		pr.proxyRing.Put(proxy.ShareChanged{
			Share: rosemarylb.ConnectionShare{
				Members:     r.Members,
				Provisional: true,
			},
		})
	}
	pr.proxyRing.Put(proxy.PermitsReceived{
		Permits: permit.FromRecord(r, o.Version.Era, requestedAt),
	})
	return true
}
