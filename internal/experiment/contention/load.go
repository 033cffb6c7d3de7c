// Package contention simulates teams that share the slots of an endpoint group, one
// of them far over its usual load, and compares the orders in which a queue serves
// them.
package contention

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"rosemarylb"
)

// Team is a source of requests.
type Team struct {
	// Name identifies the team.
	Name string
	// Weight is the team's weight in the queue, 0 for 1.
	Weight int
	// PerSecond are the usual requests a second by rank.
	PerSecond [rosemarylb.RankCount]float64
	// MeanService is the mean service time by rank.
	MeanService [rosemarylb.RankCount]time.Duration
}

// Load is the load of a run.
type Load struct {
	// Slots is the number of requests that the group serves at a time.
	Slots int
	// Teams are the sources of requests.
	Teams []Team
	// Surging is the index of the team that exceeds its usual load.
	Surging int
	// Factor is how many times its usual load that team sends during the surge.
	Factor float64
	// Span is for how long requests arrive.
	Span time.Duration
	// SurgeFrom and SurgeUntil are the limits of the surge, from the start of the run.
	SurgeFrom, SurgeUntil time.Duration
}

// Arrival is the first attempt of a request.
type Arrival struct {
	// At is the time since the start of the run.
	At time.Duration
	// Team is the index of the team.
	Team int
	// Rank is the rank of the request.
	Rank rosemarylb.Rank
	// Service is for how long the request occupies a slot.
	Service time.Duration
}

// NewLoad returns a group with three endpoints of four slots that eight teams use to
// 70 % of its capacity. The rates of the teams have a Zipf distribution with the
// exponent 1.2. The third largest has statements that take three times as long as
// those of the others, and sends seven times its usual load from second 10 to 30.
func NewLoad() Load {
	const (
		teamCount   = 8
		exponent    = 1.2
		slots       = 12
		utilisation = 0.7
		surging     = 2
		longService = 3
	)
	mix := [rosemarylb.RankCount]float64{0.1, 0.7, 0.2}
	services := [rosemarylb.RankCount]time.Duration{6 * time.Millisecond, 18 * time.Millisecond, 30 * time.Millisecond}
	l := Load{
		Slots:      slots,
		Surging:    surging,
		Factor:     7,
		Span:       40 * time.Second,
		SurgeFrom:  10 * time.Second,
		SurgeUntil: 30 * time.Second,
	}
	demand := 0.0
	for n := range teamCount {
		t := Team{
			Name:        "team-" + strconv.Itoa(n+1),
			MeanService: services,
		}
		for rank, share := range mix {
			if n == surging {
				t.MeanService[rank] *= longService
			}
			t.PerSecond[rank] = share / math.Pow(float64(n+1), exponent)
			demand += t.PerSecond[rank] * t.MeanService[rank].Seconds()
		}
		l.Teams = append(l.Teams, t)
	}
	for n := range l.Teams {
		for rank := range mix {
			l.Teams[n].PerSecond[rank] *= slots * utilisation / demand
		}
	}
	return l
}

// Arrivals returns the requests of a load in the order of their arrival. Equal
// arguments give equal results.
func (l Load) Arrivals(seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 11))
	var arrivals []Arrival
	for n, t := range l.Teams {
		for rank, rate := range t.PerSecond {
			at := time.Duration(0)
			for rate > 0 {
				at += time.Duration(random.ExpFloat64() / (rate * l.factor(n, at)) * float64(time.Second))
				if at >= l.Span {
					break
				}
				arrivals = append(arrivals, Arrival{
					At:      at,
					Team:    n,
					Rank:    rosemarylb.Rank(rank),
					Service: time.Duration((0.5 + random.Float64()) * float64(t.MeanService[rank])),
				})
			}
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int {
		return int(a.At - b.At)
	})
	return arrivals
}

// factor returns by how much a team exceeds its usual load at a time.
func (l Load) factor(team int, at time.Duration) float64 {
	if team == l.Surging && at >= l.SurgeFrom && at < l.SurgeUntil {
		return l.Factor
	}
	return 1
}
