package keeperduty

import (
	"context"
	"testing"
	"time"

	"rosemarylb"
)

// slowPromoter takes the whole time that a call may take, by a clock of its own.
type slowPromoter struct {
	now  time.Time
	sent []rosemarylb.Promotion
}

// Now implements rosemarylb.Clock.
func (p *slowPromoter) Now() time.Time { return p.now }

// Promote implements rosemarylb.Promoter.
func (p *slowPromoter) Promote(ctx context.Context, promotion rosemarylb.Promotion) rosemarylb.PromotionOutcome {
	p.sent = append(p.sent, promotion)
	if deadline, found := ctx.Deadline(); found {
		p.now = p.now.Add(time.Until(deadline).Round(time.Millisecond))
	}
	return rosemarylb.PromotionUnknown
}

// Promotions of several groups waited behind each other, and behind a pause of the
// process, and were sent long after their decision. The next holder had sent its own
// by then: a promotion with a lower token arrived after one with a higher.
func TestPromotionIsNotSentAfterItsDeadline(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name string
		// deadlines are those of the queued promotions, after the start.
		deadlines []time.Duration
		pause     time.Duration
		want      []rosemarylb.PromotionOutcome
	}{
		{"in time", []time.Duration{time.Second}, 0, []rosemarylb.PromotionOutcome{rosemarylb.PromotionUnknown}},
		{
			"behind another",
			[]time.Duration{time.Second, time.Second},
			0,
			[]rosemarylb.PromotionOutcome{rosemarylb.PromotionUnknown, rosemarylb.PromotionDeferred},
		},
		{
			"behind a shorter one",
			[]time.Duration{time.Second, 1500 * time.Millisecond},
			0,
			[]rosemarylb.PromotionOutcome{rosemarylb.PromotionUnknown, rosemarylb.PromotionUnknown},
		},
		{
			"after a pause",
			[]time.Duration{time.Second, time.Second},
			4 * time.Second,
			[]rosemarylb.PromotionOutcome{rosemarylb.PromotionDeferred, rosemarylb.PromotionDeferred},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := &slowPromoter{
				now: start.Add(test.pause),
			}
			c := promotionClient{
				promoter: p,
				clock:    p,
			}
			sent := 0
			for i, want := range test.want {
				got := c.promote(rosemarylb.Promotion{
					Token:    uint64(i),
					Deadline: start.Add(test.deadlines[i]),
				})
				if got != want {
					t.Errorf("promotion %d: got outcome %s, want %s", i, got, want)
				}
				if want != rosemarylb.PromotionDeferred {
					sent++
				}
			}
			if got := len(p.sent); got != sent {
				t.Errorf("got %d promotions sent, want %d", got, sent)
			}
		})
	}
}
