package flood

import (
	"testing"
	"time"

	"rosemarylb"
)

// The limits are service objectives.
const (
	goodputGoalPercent = 95.0
	maxLatencyFactor   = 2
	span               = 25 * time.Second
)

func productPolicy() Policy {
	all := Policies()
	return all[len(all)-1]
}

func TestUrgentLatencyIsBoundedWhileOtherRanksAreFlooded(t *testing.T) {
	unloaded := Run(productPolicy(), Scenarios()[0], 1, span).Ranks[rosemarylb.RankUrgent].P99
	for _, s := range Scenarios() {
		if s.Rank == rosemarylb.RankUrgent {
			continue
		}
		got := Run(productPolicy(), s, 1, span).Ranks[rosemarylb.RankUrgent].P99
		if want := unloaded * maxLatencyFactor; got > want {
			t.Errorf("%s: got a p99 of %v, want at most %v", s.Name, got, want)
		}
	}
}

func TestFloodsPreserveGoodputAndMinimumShares(t *testing.T) {
	for _, s := range Scenarios()[1:] {
		r := Run(productPolicy(), s, 1, span)
		if r.Goodput < goodputGoalPercent {
			t.Errorf("%s: got a goodput of %.1f%%, want %.1f%%", s.Name, r.Goodput, goodputGoalPercent)
		}
		for rank := range r.Ranks {
			want := float64(min(minShares[rank], normalLoad[rank]))
			if got := r.Ranks[rank].Share; got < want*0.95 {
				t.Errorf("%s: rank %s got a share of %.1f%%, want %.1f%%", s.Name, rosemarylb.Rank(rank), got, want)
			}
		}
	}
}

func TestFloodingCallerDoesNotStarveOthersOfItsRank(t *testing.T) {
	fifo := Run(Policies()[0], Scenarios()[2], 1, span).Ranks[rosemarylb.RankBackground].Fairness
	got := Run(productPolicy(), Scenarios()[2], 1, span).Ranks[rosemarylb.RankBackground].Fairness
	if want := 0.98; got < want {
		t.Errorf("got a fairness of %.3f, want %.3f (fifo %.3f)", got, want, fifo)
	}
}
