package keeperduty

import (
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/traffic/quota"
)

// TestTokensAreGrantedOnlyUnderTheLease guards against tokens of an instance that does
// not hold the lease, or no longer does.
func TestTokensAreGrantedOnlyUnderTheLease(t *testing.T) {
	start := time.Unix(1000, 0)
	r := NewRunner(keeper.NewKeeper("i", 1, "a"), &slowPromoter{})
	r.Handle(start, CatalogChanged{
		Catalog: rosemarylb.Catalog{
			Version: 1,
		}.WithTeams([]rosemarylb.Team{{
			Name:          "team",
			RatePerSecond: 10,
			Burst:         10,
		}}),
	})
	sequence := uint64(0)
	reserve := func(now time.Time) quota.Reply {
		sequence++
		replies := make(chan quota.Reply, 1)
		r.Handle(now, ReserveRequested{
			Request: quota.Request{
				From:     "i",
				Sequence: sequence,
				Demands: []quota.Demand{{
					Team:   "team",
					Wanted: 3,
				}},
			},
			Reply: replies,
		})
		return <-replies
	}
	if got := reserve(start); got.Answered {
		t.Errorf("got %+v without a lease, want no answer", got)
	}
	r.Handle(start, RecordObserved{})
	r.Handle(start, writeFinished{
		outcome: rosemarylb.PutOutcome{
			Written: true,
			Object: rosemarylb.Object{
				Version: rosemarylb.Version{
					Revision: 1,
				},
			},
		},
	})
	for at := time.Duration(0); at < time.Second; at += holderTickInterval {
		r.Tick(start.Add(at))
	}
	if got := reserve(start.Add(time.Second)); !got.Answered || got.Grants[0].Tokens != 3 {
		t.Errorf("got %+v under the lease, want 3 tokens", got)
	}
	if got := reserve(start.Add(time.Minute)); got.Answered {
		t.Errorf("got %+v after the lease, want no answer", got)
	}
}
