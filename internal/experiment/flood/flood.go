package flood

import (
	"math/rand/v2"
	"slices"
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/queue"
)

const (
	slotCount       = 2
	meanServiceTime = 4 * time.Millisecond
	maxQueueDepth   = 512
	callerCount     = 10
	warmUp          = 5 * time.Second
	percent         = 100
)

// minShares are the minimum shares of the ranks, in percent of the capacity.
var minShares = [rosemarylb.RankCount]int{0, 20, 10}

// normalLoad is the load of each rank without a flood, in percent of the capacity.
var normalLoad = [rosemarylb.RankCount]int{20, 20, 20}

// latencyTargets are the latencies within which requests of each rank are useful.
// They are also the deadlines of the requests.
var latencyTargets = [rosemarylb.RankCount]time.Duration{500 * time.Millisecond, 2 * time.Second, 8 * time.Second}

// Policy is a queue policy under comparison.
type Policy struct {
	// Name is the name in reports.
	Name string
	// NewQueue returns an empty queue.
	NewQueue func() rosemarylb.Queue
}

// Policies returns the compared policies; the last one is that of the proxy.
func Policies() []Policy {
	conventional := func(o policyOrder) func() rosemarylb.Queue {
		return func() rosemarylb.Queue {
			return &baseline{
				order:    o,
				maxDepth: maxQueueDepth,
				weights:  [rosemarylb.RankCount]int{70, 20, 10},
			}
		}
	}
	proxy := func(options ...queue.Option) func() rosemarylb.Queue {
		return func() rosemarylb.Queue {
			return queue.NewPriorityQueue(append(options, queue.WithMinShares(minShares), queue.WithSlots(slotCount),
				queue.WithMaxDepth(maxQueueDepth))...)
		}
	}
	return []Policy{
		{
			Name:     "fifo",
			NewQueue: conventional(orderArrival),
		},
		{
			Name:     "strict",
			NewQueue: conventional(orderStrict),
		},
		{
			Name:     "weighted",
			NewQueue: conventional(orderWeighted),
		},
		{
			Name:     "shares",
			NewQueue: proxy(queue.WithoutLoadShedding()),
		},
		{
			Name:     "shares-shedding",
			NewQueue: proxy(),
		},
	}
}

// Scenario is the load of one run.
type Scenario struct {
	// Name is the name in reports.
	Name string
	// Rank is the rank that is flooded.
	Rank rosemarylb.Rank
	// Load is the load of that rank, in percent of the capacity.
	Load int
}

// Scenarios returns the normal load and floods of the least and of the most urgent
// rank.
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

// RankResult is the result of one rank. It covers the time after the warm-up.
type RankResult struct {
	// Offered counts all requests.
	Offered int
	// WithinTarget counts the requests served within the latency target.
	WithinTarget int
	// Late counts the requests served after the latency target.
	Late int
	// Refused counts the requests that were rejected or expired in the queue.
	Refused int
	// Share is the rank's part of the capacity, in percent.
	Share float64
	// P50 is the median latency, from arrival to the end of the service.
	P50 time.Duration
	// P99 is the 99th percentile of the latency.
	P99 time.Duration
	// Fairness is Jain's fairness index of the requests served to each caller; 1 is
	// equal service.
	Fairness float64
}

// Result is the outcome of one run.
type Result struct {
	// Ranks are the results by rank.
	Ranks [rosemarylb.RankCount]RankResult
	// Goodput is the service time of the requests served within their latency
	// targets, in percent of the capacity.
	Goodput float64
}

// execution is a request that occupies a slot.
type execution struct {
	request     rosemarylb.Request
	serviceTime time.Duration
	endsAt      time.Time
}

// simulation is a discrete-event simulation of a queue with slots.
type simulation struct {
	random         *rand.Rand
	queue          rosemarylb.Queue
	now            time.Time
	startedAt      time.Time
	load           [rosemarylb.RankCount]int
	floodedRank    rosemarylb.Rank
	nextArrivals   [rosemarylb.RankCount]time.Time
	running        []execution
	serviceTimes   map[uint64]time.Duration
	sequence       uint64
	result         Result
	latencies      [rosemarylb.RankCount][]time.Duration
	busyTime       [rosemarylb.RankCount]time.Duration
	servedByCaller [rosemarylb.RankCount][callerCount]float64
	goodTime       time.Duration
}

// Run simulates a scenario under a policy for a span of time. Equal arguments give
// equal results.
func Run(policy Policy, scenario Scenario, seed uint64, span time.Duration) Result {
	s := &simulation{
		random:       rand.New(rand.NewPCG(seed, 7)),
		queue:        policy.NewQueue(),
		now:          time.Unix(0, 0),
		startedAt:    time.Unix(0, 0),
		load:         normalLoad,
		floodedRank:  scenario.Rank,
		serviceTimes: map[uint64]time.Duration{},
	}
	s.load[scenario.Rank] = scenario.Load
	for rank := range s.nextArrivals {
		s.nextArrivals[rank] = s.now.Add(s.interarrival(rosemarylb.Rank(rank)))
	}
	for s.now.Sub(s.startedAt) < span {
		s.step()
	}
	return s.finish()
}

// interarrival returns a random time until the next arrival of a rank.
func (s *simulation) interarrival(rank rosemarylb.Rank) time.Duration {
	mean := float64(meanServiceTime) / slotCount * percent / float64(s.load[rank])
	return time.Duration(s.random.ExpFloat64() * mean)
}

// step advances to the next arrival or end of service.
func (s *simulation) step() {
	rank := 0
	for i := range s.nextArrivals {
		if s.nextArrivals[i].Before(s.nextArrivals[rank]) {
			rank = i
		}
	}
	next := s.nextArrivals[rank]
	ending := -1
	for i, e := range s.running {
		if e.endsAt.Before(next) {
			next, ending = e.endsAt, i
		}
	}
	s.now = next
	if ending >= 0 {
		s.complete(ending)
	} else {
		s.arrive(rosemarylb.Rank(rank))
	}
	s.dispatch()
}

func (s *simulation) isMeasured(at time.Time) bool {
	return at.Sub(s.startedAt) >= warmUp
}

func (s *simulation) arrive(rank rosemarylb.Rank) {
	s.nextArrivals[rank] = s.now.Add(s.interarrival(rank))
	s.sequence++
	// One caller sends at least half of the load of the flooded rank.
	caller := s.random.IntN(callerCount)
	if rank == s.floodedRank && s.random.IntN(2) == 0 {
		caller = 0
	}
	q := rosemarylb.Request{
		ID: rosemarylb.RequestID{
			Sequence: s.sequence,
			Session:  rosemarylb.SessionID(caller),
		},
		Caller:        string(rune('a' + caller)),
		Rank:          rank,
		ArrivedAt:     s.now,
		QueueDeadline: s.now.Add(latencyTargets[rank]),
		Deadline:      s.now.Add(latencyTargets[rank]),
	}
	s.serviceTimes[s.sequence] = time.Duration((0.5 + s.random.Float64()) * float64(meanServiceTime))
	if s.isMeasured(s.now) {
		s.result.Ranks[rank].Offered++
	}
	rest, rejection := s.queue.WithRequest(q, s.now)
	s.queue = rest
	if rejection.Reason != rosemarylb.ReasonNone {
		s.reject(rejection.Request)
	}
}

func (s *simulation) reject(q rosemarylb.Request) {
	delete(s.serviceTimes, q.ID.Sequence)
	if s.isMeasured(q.ArrivedAt) {
		s.result.Ranks[q.Rank].Refused++
	}
}

func (s *simulation) dispatch() {
	for len(s.running) < slotCount {
		d, rest := s.queue.Next(s.now, nil)
		s.queue = rest
		for _, q := range d.Expired {
			s.reject(q)
		}
		if !d.Found {
			return
		}
		service := s.serviceTimes[d.Request.ID.Sequence]
		delete(s.serviceTimes, d.Request.ID.Sequence)
		s.running = append(s.running, execution{
			request:     d.Request,
			serviceTime: service,
			endsAt:      s.now.Add(service),
		})
	}
}

func (s *simulation) complete(i int) {
	e := s.running[i]
	s.running = slices.Delete(s.running, i, i+1)
	s.queue = s.queue.WithServed(e.request, e.serviceTime)
	if !s.isMeasured(s.now) {
		return
	}
	rank := e.request.Rank
	latency := s.now.Sub(e.request.ArrivedAt)
	s.latencies[rank] = append(s.latencies[rank], latency)
	s.busyTime[rank] += e.serviceTime
	s.servedByCaller[rank][e.request.ID.Session]++
	if latency > latencyTargets[rank] {
		s.result.Ranks[rank].Late++
		return
	}
	s.result.Ranks[rank].WithinTarget++
	s.goodTime += e.serviceTime
}

func (s *simulation) finish() Result {
	capacity := float64(s.now.Sub(s.startedAt)-warmUp) * slotCount
	for rank := range s.latencies {
		latencies := s.latencies[rank]
		slices.Sort(latencies)
		if len(latencies) > 0 {
			s.result.Ranks[rank].P50 = latencies[len(latencies)/2]
			s.result.Ranks[rank].P99 = latencies[len(latencies)*99/percent]
		}
		s.result.Ranks[rank].Share = float64(s.busyTime[rank]) / capacity * percent
		s.result.Ranks[rank].Fairness = jainIndex(s.servedByCaller[rank][:])
	}
	s.result.Goodput = float64(s.goodTime) / capacity * percent
	return s.result
}

// jainIndex returns Jain's fairness index, 1 if all amounts are equal or 0.
func jainIndex(amounts []float64) float64 {
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
