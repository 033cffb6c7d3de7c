package keeper

import (
	"testing"
	"time"

	"rosemarylb"
)

// A replica that is still starting refuses its promotion. If no other replica is
// left, the group stayed without a primary.
func TestOnlyCandidateIsAskedAgainAfterRefusal(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newHolder(now)
	var sentAt []time.Time
	for end := now.Add(6 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		for _, id := range []rosemarylb.InstanceID{"i0", "i1", "i2", "i3"} {
			k = k.WithReport(Report{
				From: id,
			}, now)
		}
		k = k.WithStatus(Status{
			Group:    "g",
			Endpoint: "e1",
			ProbedAt: now,
			Refused:  true,
		})
		k = k.WithStatus(Status{
			Group:       "g",
			Endpoint:    "e2",
			ProbedAt:    now,
			Answered:    true,
			Term:        1,
			LogPosition: rosemarylb.Position{},
		})
		var d Decision
		k, d = k.Decide(now)
		if d.Write != nil {
			k = k.WithWriteConfirmed(version(k.version.Revision+1), now)
		}
		for _, p := range d.Promotions {
			sentAt = append(sentAt, now)
			k = k.WithPromotionOutcome(p, rosemarylb.PromotionRefused, now)
		}
	}
	if len(sentAt) < 2 {
		t.Fatalf("got %d promotions of the only candidate within 6 s, want more than one", len(sentAt))
	}
	if got := sentAt[1].Sub(sentAt[0]); got < promotionRefusalDelay {
		t.Errorf("got the second promotion after %s, want %s or more", got, promotionRefusalDelay)
	}
}
