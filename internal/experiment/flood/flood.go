package flood

import (
	"math/rand/v2"
	"slices"
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/queue"
)

const (
	slots       = 2
	meanService = 4 * time.Millisecond
	queueLimit  = 512
	callers     = 10
	warmUp      = 5 * time.Second
	percent     = 100
)

// shares are the least shares of the ranks, in percent.
var shares = [rosemarylb.RankCount]int{0, 20, 10}

// normalLoad is each rank's load in percent of the capacity.
var normalLoad = [rosemarylb.RankCount]int{20, 20, 20}

// targets are the times within which a rank's requests are worth serving.
var targets = [rosemarylb.RankCount]time.Duration{500 * time.Millisecond, 2 * time.Second, 8 * time.Second}

// Policy is one way to order the queue.
type Policy struct {
	// Name names it in reports.
	Name string
	// Make returns an empty queue.
	Make func() rosemarylb.Queue
}

// Policies are the ways that are compared, the product's own last.
func Policies() []Policy {
	usual := func(o order) func() rosemarylb.Queue {
		return func() rosemarylb.Queue {
			return &baseline{
				order:   o,
				limit:   queueLimit,
				weights: [rosemarylb.RankCount]int{70, 20, 10},
			}
		}
	}
	own := func(options ...queue.Option) func() rosemarylb.Queue {
		return func() rosemarylb.Queue {
			return queue.NewPriorityQueue(append(options, queue.WithMinShares(shares), queue.WithSlots(slots),
				queue.WithMaxDepth(queueLimit))...)
		}
	}
	return []Policy{
		{
			Name: "fifo",
			Make: usual(orderArrival),
		},
		{
			Name: "strict",
			Make: usual(orderStrict),
		},
		{
			Name: "weighted",
			Make: usual(orderWeighted),
		},
		{
			Name: "shares",
			Make: own(queue.WithoutLoadShedding()),
		},
		{
			Name: "shares-shedding",
			Make: own(),
		},
	}
}

// Scenario is what floods in.
type Scenario struct {
	// Name names it in reports.
	Name string
	// Rank is the rank that floods.
	Rank rosemarylb.Rank
	// Load is its load in percent of the capacity.
	Load int
}

// Scenarios are the floods of the least and of the most urgent work.
func Scenarios() []Scenario {
	return []Scenario{
		{
			Name: "none",
			Rank: rosemarylb.RankBackground,
			Load: normalLoad[rosemarylb.RankBackground],
		},
		{
			Name: "background-5x",
			Rank: rosemarylb.RankBackground,
			Load: 5 * percent,
		},
		{
			Name: "background-20x",
			Rank: rosemarylb.RankBackground,
			Load: 20 * percent,
		},
		{
			Name: "urgent-5x",
			Rank: rosemarylb.RankUrgent,
			Load: 5 * percent,
		},
		{
			Name: "urgent-20x",
			Rank: rosemarylb.RankUrgent,
			Load: 20 * percent,
		},
	}
}

// RankResult is what one rank got.
type RankResult struct {
	// Offered, Good, Late and Refused count requests: all, those served
	// within the target, those served after it, those not run.
	Offered int
	// Good counts the requests served within the target.
	Good int
	// Late counts the requests served after it.
	Late int
	// Refused counts the requests that were not run.
	Refused int
	// Share is the part of the service time that the rank had, in percent.
	Share float64
	// P50 and P99 are times from arrival to the end of the service.
	P50 time.Duration
	// P99 is the 99th percentile.
	P99 time.Duration
	// Fairness is Jain's index of what the rank's callers got, 1 at best.
	Fairness float64
}

// Result is the outcome of one run.
type Result struct {
	// Ranks are the results by rank.
	Ranks [rosemarylb.RankCount]RankResult
	// Goodput is the service time of requests served within their targets, in
	// percent of the capacity.
	Goodput float64
}

type job struct {
	request rosemarylb.Request
	service time.Duration
	endsAt  time.Time
}

type run struct {
	random    *rand.Rand
	queue     rosemarylb.Queue
	now       time.Time
	start     time.Time
	load      [rosemarylb.RankCount]int
	flooder   rosemarylb.Rank
	arrivals  [rosemarylb.RankCount]time.Time
	running   []job
	services  map[uint64]time.Duration
	sequence  uint64
	result    Result
	latencies [rosemarylb.RankCount][]time.Duration
	worked    [rosemarylb.RankCount]time.Duration
	byCaller  [rosemarylb.RankCount][callers]float64
	good      time.Duration
}

// Run plays a scenario under a policy for a span of simulated time, the same
// for the same seed.
func Run(p Policy, s Scenario, seed uint64, span time.Duration) Result {
	r := &run{
		random:   rand.New(rand.NewPCG(seed, 7)),
		queue:    p.Make(),
		now:      time.Unix(0, 0),
		start:    time.Unix(0, 0),
		load:     normalLoad,
		flooder:  s.Rank,
		services: map[uint64]time.Duration{},
	}
	r.load[s.Rank] = s.Load
	for rank := range r.arrivals {
		r.arrivals[rank] = r.now.Add(r.gap(rosemarylb.Rank(rank)))
	}
	for r.now.Sub(r.start) < span {
		r.step()
	}
	return r.finish()
}

func (r *run) gap(rank rosemarylb.Rank) time.Duration {
	mean := float64(meanService) / slots * percent / float64(r.load[rank])
	return time.Duration(r.random.ExpFloat64() * mean)
}

// step goes to the next arrival or end of service.
func (r *run) step() {
	rank := 0
	for i := range r.arrivals {
		if r.arrivals[i].Before(r.arrivals[rank]) {
			rank = i
		}
	}
	next := r.arrivals[rank]
	ending := -1
	for i, j := range r.running {
		if j.endsAt.Before(next) {
			next, ending = j.endsAt, i
		}
	}
	r.now = next
	if ending >= 0 {
		r.end(ending)
	} else {
		r.arrive(rosemarylb.Rank(rank))
	}
	r.dispatch()
}

func (r *run) measured(at time.Time) bool {
	return at.Sub(r.start) >= warmUp
}

func (r *run) arrive(rank rosemarylb.Rank) {
	r.arrivals[rank] = r.now.Add(r.gap(rank))
	r.sequence++
	// In a flooded rank one caller sends half of the load.
	caller := r.random.IntN(callers)
	if rank == r.flooder && r.random.IntN(2) == 0 {
		caller = 0
	}
	q := rosemarylb.Request{
		ID: rosemarylb.RequestID{
			Sequence: r.sequence,
			Session:  rosemarylb.SessionID(caller),
		},
		Caller:        string(rune('a' + caller)),
		Rank:          rank,
		ArrivedAt:     r.now,
		QueueDeadline: r.now.Add(targets[rank]),
		Deadline:      r.now.Add(targets[rank]),
	}
	r.services[r.sequence] = time.Duration((0.5 + r.random.Float64()) * float64(meanService))
	if r.measured(r.now) {
		r.result.Ranks[rank].Offered++
	}
	rest, refusal := r.queue.WithRequest(q, r.now)
	r.queue = rest
	if refusal.Reason != rosemarylb.ReasonNone {
		r.refuse(refusal.Request)
	}
}

func (r *run) refuse(q rosemarylb.Request) {
	delete(r.services, q.ID.Sequence)
	if r.measured(q.ArrivedAt) {
		r.result.Ranks[q.Rank].Refused++
	}
}

func (r *run) dispatch() {
	for len(r.running) < slots {
		d, rest := r.queue.Next(r.now)
		r.queue = rest
		for _, q := range d.Expired {
			r.refuse(q)
		}
		if !d.Found {
			return
		}
		service := r.services[d.Request.ID.Sequence]
		delete(r.services, d.Request.ID.Sequence)
		r.running = append(r.running, job{
			request: d.Request,
			service: service,
			endsAt:  r.now.Add(service),
		})
	}
}

func (r *run) end(i int) {
	j := r.running[i]
	r.running = slices.Delete(r.running, i, i+1)
	r.queue = r.queue.WithServed(j.request.Rank, j.service)
	if !r.measured(r.now) {
		return
	}
	rank := j.request.Rank
	latency := r.now.Sub(j.request.ArrivedAt)
	r.latencies[rank] = append(r.latencies[rank], latency)
	r.worked[rank] += j.service
	r.byCaller[rank][j.request.ID.Session]++
	if latency > targets[rank] {
		r.result.Ranks[rank].Late++
		return
	}
	r.result.Ranks[rank].Good++
	r.good += j.service
}

func (r *run) finish() Result {
	capacity := float64(r.now.Sub(r.start)-warmUp) * slots
	for rank := range r.latencies {
		l := r.latencies[rank]
		slices.Sort(l)
		if len(l) > 0 {
			r.result.Ranks[rank].P50 = l[len(l)/2]
			r.result.Ranks[rank].P99 = l[len(l)*99/percent]
		}
		r.result.Ranks[rank].Share = float64(r.worked[rank]) / capacity * percent
		r.result.Ranks[rank].Fairness = jain(r.byCaller[rank][:])
	}
	r.result.Goodput = float64(r.good) / capacity * percent
	return r.result
}

// jain returns Jain's fairness index of amounts.
func jain(amounts []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, a := range amounts {
		sum += a
		squares += a * a
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(amounts)) * squares)
}
