// Package membership simulates fleets of several sizes and measures the traffic of
// membership for each instance and the time until a failure is known everywhere.
package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"rosemarylb"
	"rosemarylb/internal/fleet/member"
	"rosemarylb/internal/peer/instance"
)

const (
	// overheadBytes is the size of the gRPC, HTTP/2 and TCP/IP headers of a message.
	overheadBytes = 5 + 9 + 40
	// sameRegionLatency and crossRegionLatency are one-way network latencies.
	sameRegionLatency  = 1500 * time.Microsecond
	crossRegionLatency = 20 * time.Millisecond
	regionCount        = 3
)

// Options are the settings of a simulation.
type Options struct {
	// Members is the number of instances.
	Members int
	// Loss is the fraction of messages that are lost, from 0 to 1.
	Loss float64
	// PartitionSeconds is the length of a network partition between all regions in
	// seconds; 0 for none.
	PartitionSeconds int
	// Seed makes the simulation reproducible, except for Processor.
	Seed uint64
}

// Result is the result of a simulation.
type Result struct {
	// MessagesPerSecond is the number of messages that each instance sends per
	// second without failures.
	MessagesPerSecond float64
	// BytesPerSecond is the size of these messages per second, with transport headers.
	BytesPerSecond float64
	// HandlingMicros is the processor time to handle one message, in microseconds
	// on this machine.
	HandlingMicros float64
	// DetectionTime is the time from the crash of an instance until all others know of
	// it, at most a minute.
	DetectionTime time.Duration
	// FalseDeaths counts the times that a live instance was declared dead.
	FalseDeaths int
	// ConvergenceTime is the time from the end of the partition until all live
	// instances have an accurate view, at most a minute.
	ConvergenceTime time.Duration
}

// delivery is a message in flight.
type delivery struct {
	at      time.Time
	to      int
	message member.Message
}

// deliveries is a heap ordered by time of arrival.
type deliveries []delivery

func (d deliveries) Len() int           { return len(d) }
func (d deliveries) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d deliveries) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deliveries) Push(x any) { *d = append(*d, x.(delivery)) }

// Pop implements heap.Interface.
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// simulation is a simulated fleet and network.
type simulation struct {
	options        Options
	random         *rand.Rand
	now            time.Time
	tables         []member.Table
	nextTicks      []time.Time
	dead           map[int]bool
	indexByID      map[rosemarylb.InstanceID]int
	inFlight       deliveries
	isPartitioned  bool
	messageCount   int
	byteCount      int
	processingTime time.Duration
}

// tickLength is the resolution of simulated time.
const tickLength = 10 * time.Millisecond

// Run simulates a fleet for ten seconds without failures, then the crash of one
// instance, then a partition between the regions if there is one in the options.
func Run(o Options) Result {
	s := newSimulation(o)
	s.advance(2 * time.Second)
	s.messageCount, s.byteCount, s.processingTime = 0, 0, 0
	const steadySpan = 10 * time.Second
	s.advance(steadySpan)
	perInstance := float64(o.Members) * steadySpan.Seconds()
	result := Result{
		MessagesPerSecond: float64(s.messageCount) / perInstance,
		BytesPerSecond:    float64(s.byteCount) / perInstance,
		HandlingMicros:    float64(s.processingTime.Microseconds()) / float64(max(s.messageCount, 1)),
	}
	s.dead[0] = true
	result.DetectionTime = s.advanceUntil(func(v rosemarylb.View) bool {
		m, found := v.Member(instanceID(0))
		return !found || m.Status == rosemarylb.MemberDead
	})
	result.FalseDeaths = s.countFalseDeaths()
	if o.PartitionSeconds > 0 {
		s.isPartitioned = true
		s.advance(time.Duration(o.PartitionSeconds) * time.Second)
		s.isPartitioned = false
		result.ConvergenceTime = s.advanceUntil(s.isAccurate)
	}
	return result
}

func instanceID(n int) rosemarylb.InstanceID {
	return rosemarylb.InstanceID(fmt.Sprintf("proxy-%05d", n))
}

func newSimulation(o Options) *simulation {
	s := &simulation{
		options:   o,
		random:    rand.New(rand.NewPCG(o.Seed, 3)),
		now:       time.Unix(1000, 0),
		dead:      map[int]bool{},
		indexByID: map[rosemarylb.InstanceID]int{},
	}
	var members []rosemarylb.Member
	for n := range o.Members {
		members = append(members, rosemarylb.Member{
			ID:          instanceID(n),
			Address:     fmt.Sprintf("10.0.%d.%d:6433", n/256, n%256),
			Domain:      rosemarylb.DomainName(fmt.Sprintf("domain-%d", n%(3*regionCount))),
			Region:      rosemarylb.RegionName(fmt.Sprintf("region-%d", n%regionCount)),
			Incarnation: uint64(1800000000000 + n),
		})
		s.indexByID[instanceID(n)] = n
	}
	for n := range o.Members {
		s.tables = append(s.tables, member.NewTable(members[n], member.WithSeed(o.Seed+uint64(n)),
			member.WithMembers(members, s.now)))
		s.nextTicks = append(s.nextTicks, s.now.Add(time.Duration(s.random.Int64N(int64(member.HeartbeatInterval)))))
	}
	return s
}

// advance simulates a span of time.
func (s *simulation) advance(span time.Duration) {
	end := s.now.Add(span)
	for s.now.Before(end) {
		s.now = s.now.Add(tickLength)
		s.deliver()
		for n := range s.tables {
			if s.dead[n] || s.now.Before(s.nextTicks[n]) {
				continue
			}
			t, messages := s.tables[n].WithTick(s.now)
			s.tables[n] = t
			s.nextTicks[n] = t.Next()
			s.send(n, messages)
		}
	}
}

func (s *simulation) deliver() {
	for len(s.inFlight) > 0 && !s.inFlight[0].at.After(s.now) {
		d := heap.Pop(&s.inFlight).(delivery)
		if s.dead[d.to] {
			continue
		}
		startedAt := time.Now()
		t, messages := s.tables[d.to].WithHeartbeat(d.message.Heartbeat, d.at)
		s.processingTime += time.Since(startedAt)
		s.tables[d.to] = t
		s.send(d.to, messages)
	}
}

func (s *simulation) send(from int, messages []member.Message) {
	for _, m := range messages {
		to := s.indexByID[m.To.ID]
		s.messageCount++
		s.byteCount += instance.HeartbeatSize(m.Heartbeat) + overheadBytes
		crossRegion := from%regionCount != to%regionCount
		if s.isPartitioned && crossRegion || s.random.Float64() < s.options.Loss {
			continue
		}
		latency := sameRegionLatency
		if crossRegion {
			latency = crossRegionLatency
		}
		heap.Push(&s.inFlight, delivery{
			at:      s.now.Add(latency),
			to:      to,
			message: m,
		})
	}
}

// advanceUntil advances until the views of all live instances meet a condition, at
// most a minute. It returns the time that this took.
func (s *simulation) advanceUntil(condition func(rosemarylb.View) bool) time.Duration {
	startedAt := s.now
	for s.now.Sub(startedAt) < time.Minute {
		if s.allViews(condition) {
			return s.now.Sub(startedAt)
		}
		s.advance(tickLength)
	}
	return time.Minute
}

// allViews reports whether the views of all live instances meet a condition.
func (s *simulation) allViews(condition func(rosemarylb.View) bool) bool {
	for n := range s.tables {
		if !s.dead[n] && !condition(s.tables[n].View()) {
			return false
		}
	}
	return true
}

// isAccurate reports whether a view declares dead the crashed instances and no
// others.
func (s *simulation) isAccurate(v rosemarylb.View) bool {
	for _, m := range v.Members {
		if (m.Status == rosemarylb.MemberDead) != s.dead[s.indexByID[m.ID]] {
			return false
		}
	}
	return true
}

// countFalseDeaths counts the times that live instances refuted their death, by the
// increases of their incarnations.
func (s *simulation) countFalseDeaths() int {
	count := 0
	for n := range s.tables {
		if s.dead[n] {
			continue
		}
		initial := uint64(1800000000000 + n)
		count += int(s.tables[n].View().Self.Incarnation - initial)
	}
	return count
}
