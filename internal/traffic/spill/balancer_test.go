package spill

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/placement"
)

const (
	slots     = 12
	service   = 18 * time.Millisecond
	step      = time.Millisecond
	reportAge = 120 * time.Millisecond
	instances = 10
	bytes     = 2000
	// queueLimit is the number of requests of a rank that wait in a domain.
	queueLimit = 100
	// capacity is the number of requests a second that a domain serves.
	capacity = slots * float64(time.Second) / float64(service)
)

var start = time.Unix(100, 0)

// domain has slots that its own instances and those of the other domain use.
type domain struct {
	demand    float64
	balancers []Balancer
	running   []int
	waiting   [rosemarylb.RankCount]int
	known     [rosemarylb.RankCount]int
	// arrived, sent and refused count the requests of its callers, those sent to the
	// other domain, and those refused by a full queue, by rank.
	arrived, sent, refused [rosemarylb.RankCount]int
}

// simulation is two domains whose instances learn the loads of both every 120 ms.
type simulation struct {
	random  *rand.Rand
	away    Distance
	latency time.Duration
	now     time.Time
	domains [2]*domain
}

func newSimulation(away Distance, latency time.Duration, demands [2]float64, options ...Option) *simulation {
	s := &simulation{
		random:  rand.New(rand.NewPCG(1, 3)),
		away:    away,
		latency: latency,
		now:     start,
	}
	for n, demand := range demands {
		s.domains[n] = &domain{
			demand: demand,
		}
		for range instances {
			s.domains[n].balancers = append(s.domains[n].balancers, NewBalancer(options...))
		}
	}
	return s
}

func (s *simulation) run(span time.Duration) {
	for _, d := range s.domains {
		d.arrived, d.sent, d.refused = [rosemarylb.RankCount]int{}, [rosemarylb.RankCount]int{}, [rosemarylb.RankCount]int{}
	}
	for until := s.now.Add(span); s.now.Before(until); s.now = s.now.Add(step) {
		if s.now.Sub(start)%reportAge == 0 {
			s.report()
		}
		for n, d := range s.domains {
			d.serve()
			if s.random.Float64() < d.demand*capacity*step.Seconds() {
				s.arrive(n)
			}
		}
	}
}

// serve ends requests and gives free slots to the most urgent ones.
func (d *domain) serve() {
	kept := d.running[:0]
	for _, left := range d.running {
		if left > 1 {
			kept = append(kept, left-1)
		}
	}
	d.running = kept
	for rank := range d.waiting {
		for d.waiting[rank] > 0 && len(d.running) < slots {
			d.waiting[rank]--
			d.running = append(d.running, int(service/step))
		}
	}
}

func (s *simulation) report() {
	for _, d := range s.domains {
		ahead := len(d.running)
		for rank := range d.waiting {
			ahead += d.waiting[rank]
			d.known[rank] = ahead
		}
	}
	for n, d := range s.domains {
		for i := range d.balancers {
			d.balancers[i] = d.balancers[i].WithSample(DistanceDomain, s.finishes(n, 0), s.now)
			d.balancers[i] = d.balancers[i].WithSample(s.away, s.finishes(1-n, s.latency), s.now)
		}
	}
}

func (s *simulation) finishes(n int, latency time.Duration) Finishes {
	var f Finishes
	for rank, ahead := range s.domains[n].known {
		f[rank] = placement.ExpectedFinish(s.now, service, latency, slots, ahead)
	}
	return f
}

func (s *simulation) arrive(n int) {
	d := s.domains[n]
	// 10 % of the requests are urgent, 20 % background.
	rank := rosemarylb.RankStandard
	switch drawn := s.random.Float64(); {
	case drawn < 0.1:
		rank = rosemarylb.RankUrgent
	case drawn < 0.3:
		rank = rosemarylb.RankBackground
	}
	candidates := []Candidate{
		{
			Candidate: placement.Candidate{
				FinishAt: s.finishes(n, 0)[rank],
				Weight:   1,
			},
		},
		{
			Candidate: placement.Candidate{
				FinishAt: s.finishes(1-n, s.latency)[rank],
				Weight:   1,
			},
			Distance: s.away,
		},
	}
	instance := s.random.IntN(instances)
	source := d
	chosen := d.balancers[instance].Choose(candidates, rank, reportAge/3, s.random.Float64)
	d.arrived[rank]++
	if chosen == 1 {
		d.sent[rank]++
		if s.away == DistanceRemote {
			d.balancers[instance] = d.balancers[instance].WithTransfer(bytes, s.now)
		}
		d = s.domains[1-n]
	}
	if d.waiting[rank] >= queueLimit {
		source.refused[rank]++
		return
	}
	d.waiting[rank]++
}

// part returns the part of the requests of the callers that a count by rank is.
func (d *domain) part(counts [rosemarylb.RankCount]int) float64 {
	return float64(counts[0]+counts[1]+counts[2]) / float64(max(d.arrived[0]+d.arrived[1]+d.arrived[2], 1))
}

func TestShareConvergesWithoutOscillationOrSwap(t *testing.T) {
	for _, c := range []struct {
		name    string
		away    Distance
		latency time.Duration
		demands [2]float64
		// low and high limit the part that the first domain sends out.
		low, high float64
	}{
		{"overload here", DistanceRegion, 500 * time.Microsecond, [2]float64{1.3, 0.4}, 0.15, 0.4},
		{"overload here, remote", DistanceRemote, 20 * time.Millisecond, [2]float64{1.3, 0.4}, 0.15, 0.4},
		{"both at half", DistanceRegion, 500 * time.Microsecond, [2]float64{0.5, 0.5}, 0, 0.02},
		{"both overloaded", DistanceRegion, 500 * time.Microsecond, [2]float64{0.95, 0.95}, 0, 0.1},
		{"far but idle", DistanceRemote, 20 * time.Millisecond, [2]float64{0.7, 0.1}, 0, 0.02},
	} {
		s := newSimulation(c.away, c.latency, c.demands)
		s.run(30 * time.Second)
		lowest, highest, back, refused := 1.0, 0.0, 0.0, 0.0
		for range 12 {
			s.run(5 * time.Second)
			here, there := s.domains[0], s.domains[1]
			lowest, highest = min(lowest, here.part(here.sent)), max(highest, here.part(here.sent))
			back = max(back, there.part(there.sent))
			refused = max(refused, here.part(here.refused), there.part(there.refused))
		}
		t.Logf("%s: sent out %.2f to %.2f, back at most %.2f, refused %.3f", c.name, lowest, highest, back, refused)
		if lowest < c.low || highest > c.high {
			t.Errorf("%s: got %.2f to %.2f sent out, want %.2f to %.2f", c.name, lowest, highest, c.low, c.high)
		}
		if back > 0.02 || refused > 0.02 {
			t.Errorf("%s: got %.2f sent back and %.2f refused, want at most 0.02", c.name, back, refused)
		}
	}
}

func TestDirectionTurnsWithTheLoad(t *testing.T) {
	s := newSimulation(DistanceRegion, 500*time.Microsecond, [2]float64{1.3, 0.4})
	s.run(30 * time.Second)
	s.domains[0].demand, s.domains[1].demand = 0.4, 1.3
	s.run(30 * time.Second)
	s.run(5 * time.Second)
	here, there := s.domains[0], s.domains[1]
	if got := here.part(here.sent); got > 0.02 {
		t.Errorf("got %.2f sent out by the domain that has room, want at most 0.02", got)
	}
	if got := there.part(there.sent); got < 0.15 {
		t.Errorf("got %.2f sent out by the overloaded domain, want at least 0.15", got)
	}
}

func TestRankThatGainsMostGoesFirst(t *testing.T) {
	// All ranks gain the same time, which is worth most to the one with the shortest target.
	b := NewBalancer()
	now := start
	for range 10 {
		now = now.Add(reportAge)
		b = b.WithSample(DistanceRegion, Finishes{now, now, now}, now)
		later := now.Add(50 * time.Millisecond)
		b = b.WithSample(DistanceDomain, Finishes{later, later, later}, now)
	}
	urgent, standard := b.Share(DistanceRegion, rosemarylb.RankUrgent), b.Share(DistanceRegion, rosemarylb.RankStandard)
	if urgent == 0 || standard != 0 {
		t.Errorf("got shares %.2f urgent and %.2f standard, want the urgent rank alone", urgent, standard)
	}
}

func TestBudgetOfLinkHolds(t *testing.T) {
	const budget = 8000.0
	s := newSimulation(DistanceRemote, 20*time.Millisecond, [2]float64{1.3, 0.2}, WithBudget(budget))
	for window := range 8 {
		s.run(5 * time.Second)
		sent := 0
		for _, count := range s.domains[0].sent {
			sent += count
		}
		// Each instance may be one request over, and has a second's budget at first.
		want := instances * (budget*6 + bytes)
		if got := float64(sent * bytes); got > want {
			t.Errorf("window %d: got %.0f bytes, want at most %.0f", window, got, want)
		}
		t.Logf("sent %v of %v, refused %v", s.domains[0].sent, s.domains[0].arrived, s.domains[0].refused)
	}
}

func BenchmarkChoose(b *testing.B) {
	s := newSimulation(DistanceRegion, 500*time.Microsecond, [2]float64{1.3, 0.4})
	s.run(5 * time.Second)
	balancer := s.domains[0].balancers[0]
	candidates := make([]Candidate, 20)
	for i := range candidates {
		candidates[i].FinishAt = s.now.Add(time.Duration(i) * time.Millisecond)
		candidates[i].Weight = 1
		candidates[i].Distance = Distance(i % DistanceCount)
	}
	for b.Loop() {
		balancer = balancer.WithSample(DistanceDomain, s.finishes(0, 0), s.now)
		balancer.Choose(candidates, rosemarylb.RankStandard, reportAge/3, s.random.Float64)
	}
}

func TestSharesFallWhenTheOtherSideIsUnknown(t *testing.T) {
	s := newSimulation(DistanceRegion, 500*time.Microsecond, [2]float64{1.3, 0.4})
	s.run(30 * time.Second)
	b := s.domains[0].balancers[0]
	if b.Share(DistanceRegion, rosemarylb.RankStandard) == 0 {
		t.Fatal("got share 0 under overload, want more")
	}
	for now := s.now; now.Before(s.now.Add(20 * time.Second)); now = now.Add(reportAge) {
		var f Finishes
		for rank := range f {
			f[rank] = now.Add(time.Second)
		}
		b = b.WithSample(DistanceDomain, f, now)
	}
	for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
		if got := b.Share(DistanceRegion, rank); math.Abs(got) > 1e-9 {
			t.Errorf("rank %s: got share %.2f to a side without samples, want 0", rank, got)
		}
	}
}
