package contention

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"io"
	"testing"
	"time"

	"rosemarylb"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

const (
	longestService = 30 * time.Millisecond
	// creditBound is twice the largest credit of a rank: one that has just used up its
	// credit pays it back before it has its share again.
	creditBound = 200 * time.Millisecond
)

// product is the policy of the proxy without refusals, so that all requests are served.
var product = Policy{
	Name:    "time",
	Ordered: true,
	ByTime:  true,
}

// drawLoad returns a random load: teams of any weight and rate, alone or together
// beyond the capacity, in one rank or in all.
func drawLoad(t *rapid.T) Load {
	l := Load{
		Slots:      rapid.IntRange(1, 4).Draw(t, "slots"),
		Factor:     7,
		Span:       2 * time.Second,
		SurgeFrom:  500 * time.Millisecond,
		SurgeUntil: time.Second,
	}
	ranks := rapid.SampledFrom([][]int{{0}, {1}, {0, 1, 2}}).Draw(t, "ranks")
	teams := rapid.IntRange(2, 6).Draw(t, "teams")
	load := rapid.Float64Range(0.3, 3).Draw(t, "load")
	l.Surging = rapid.IntRange(0, teams-1).Draw(t, "surging")
	for n := range teams {
		team := Team{
			Name:   fmt.Sprintf("team-%d", n),
			Weight: rapid.IntRange(0, 3).Draw(t, "weight"),
		}
		for _, rank := range ranks {
			// The service times spread by half to either side.
			mean := time.Duration(rapid.Float64Range(0.2, 2.0/3).Draw(t, "service") * float64(longestService))
			share := rapid.Float64Range(0.02, 2).Draw(t, "share") / float64(teams*len(ranks))
			team.MeanService[rank] = mean
			team.PerSecond[rank] = load * share * float64(l.Slots) / mean.Seconds()
		}
		l.Teams = append(l.Teams, team)
	}
	return l
}

// flow is the requests of one team and rank.
type flow struct {
	team int
	rank rosemarylb.Rank
}

// findDelayed returns the first request that was answered later than a server of its
// own would have done that has the capacity due to its team and rank, with a bound on
// what cannot be divided: one request of each other team and slot, some of them
// charged with the mean service time until they end.
func findDelayed(l Load, r Rules, operations []Operation) string {
	used := map[rosemarylb.Rank]bool{}
	for _, o := range operations {
		used[o.Rank] = true
	}
	weights := 0
	for _, t := range l.Teams {
		weights += max(t.Weight, 1)
	}
	finish := map[flow]time.Duration{}
	for _, o := range operations {
		share, slack := 1.0, 3*longestService*time.Duration(len(l.Teams)+l.Slots)
		if len(used) > 1 {
			share = rankShare(o.Rank, r)
			slack += creditBound
		}
		capacity := share * float64(l.Slots)
		due := capacity * float64(max(l.Teams[o.Team].Weight, 1)) / float64(weights)
		f := flow{
			team: o.Team,
			rank: o.Rank,
		}
		finish[f] = max(finish[f], o.At) + time.Duration(float64(o.Service)/due)
		bound := finish[f] + time.Duration(float64(slack)/capacity) + longestService
		if !o.Answered || o.EndedAt > bound {
			return fmt.Sprintf("request %+v, want an answer by %v", o, bound)
		}
	}
	return ""
}

// rankShare returns the part of the capacity that a rank has while all wait.
func rankShare(rank rosemarylb.Rank, r Rules) float64 {
	if rank == rosemarylb.RankUrgent {
		return float64(percent-r.Shares[rosemarylb.RankStandard]-r.Shares[rosemarylb.RankBackground]) / percent
	}
	return float64(r.Shares[rank]) / percent
}

func withoutDeadlines() Rules {
	r := NewRules()
	r.Shares = [rosemarylb.RankCount]int{0, 30, 20}
	r.Attempts = 1
	r.Depth = 1 << 30
	for rank := range r.Patience {
		r.Patience[rank] = time.Hour
	}
	return r
}

func TestEachTeamAndRankHasItsShareUnderRandomLoads(t *testing.T) {
	// Fails if a team waits behind another's excess, a rank lacks its minimum share, or
	// a request starves.
	rapid.Check(t, func(t *rapid.T) {
		l := drawLoad(t)
		arrivals := l.Arrivals(rapid.Uint64().Draw(t, "seed"))
		r := withoutDeadlines()
		if delayed := findDelayed(l, r, Run(product, l, r, arrivals)); delayed != "" {
			t.Fatal(delayed)
		}
	})
}

func TestShareCheckDetectsPoliciesWithoutShares(t *testing.T) {
	// Guards against bounds so wide that any policy holds them.
	l, r := Load{
		Slots: 4,
		Span:  5 * time.Second,
	}, withoutDeadlines()
	// The first two exceed their shares. Turns by count favour the one with longer
	// requests; the order of arrival disregards the third.
	loads := []float64{1, 1, 0.05}
	for n, mean := range []time.Duration{4 * time.Millisecond, 20 * time.Millisecond, 4 * time.Millisecond} {
		team := Team{
			Name: fmt.Sprintf("team-%d", n),
		}
		team.MeanService[rosemarylb.RankStandard] = mean
		team.PerSecond[rosemarylb.RankStandard] = loads[n] * float64(l.Slots) / mean.Seconds()
		l.Teams = append(l.Teams, team)
	}
	arrivals := l.Arrivals(1)
	for _, p := range Policies()[:3] {
		delayed := findDelayed(l, r, Run(p, l, r, arrivals))
		if got, want := delayed == "", p == product; got != want {
			t.Errorf("%s: got shares held %t, want %t; %s", p.Name, got, want, delayed)
		}
	}
}

func TestNoRequestIsHeldPastItsDeadlineUnderRandomLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, r := drawLoad(t), NewRules()
		for rank := range r.Patience {
			r.Patience[rank] = time.Duration(rapid.IntRange(20, 1000).Draw(t, "patience")) * time.Millisecond
		}
		p := product
		p.Admission = rapid.Bool().Draw(t, "admission")
		for _, o := range Run(p, l, r, l.Arrivals(rapid.Uint64().Draw(t, "seed"))) {
			until := o.OfferedAt + r.Patience[o.Rank]
			// A refusal may wait for the end of the services that occupy the slots.
			if o.Answered && o.StartedAt > until || !o.Answered && o.EndedAt > until+longestService {
				t.Fatalf("request %+v, want it started or refused by %v", o, until)
			}
		}
	})
}

func TestSurgeOfOneTeamTakesNothingFromOthersOfItsRank(t *testing.T) {
	l, r := NewLoad(), NewRules()
	policies := Policies()
	operations := Run(policies[len(policies)-1], l, r, l.Arrivals(1))
	for _, rank := range []rosemarylb.Rank{rosemarylb.RankUrgent, rosemarylb.RankStandard} {
		others := Count(operations, r, func(o Operation) bool {
			return o.Team != l.Surging && o.Rank == rank
		})
		if got, want := others.WorthPercent(), 99.0; got < want {
			t.Errorf("rank %s: got %.1f %% of the worth for the other teams, want %.1f %%", rank, got, want)
		}
	}
}

func TestDrawingIsWellFormed(t *testing.T) {
	l, r := NewLoad(), NewRules()
	var out bytes.Buffer
	if err := WriteSVG(&out, "time", l, r, Run(product, l, r, l.Arrivals(1)[:500])); err != nil {
		t.Fatal(err)
	}
	d := xml.NewDecoder(&out)
	for {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
}
