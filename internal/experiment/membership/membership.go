// Package membership measures what membership costs each instance, and how
// soon everyone learns of a loss, in fleets of several sizes.
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
	// frameBytes is what gRPC, TCP and IP add to one message.
	frameBytes = 5 + 9 + 40
	// nearLatency and farLatency are the one-way delays within a region and
	// between regions.
	nearLatency = 1500 * time.Microsecond
	farLatency  = 20 * time.Millisecond
	// regions is the number of regions.
	regions = 3
)

// Options are the settings of a run.
type Options struct {
	// Members is the number of instances.
	Members int
	// Loss is the part of messages that are lost.
	Loss float64
	// Cut separates the regions for that many steady seconds, 0 for none.
	Cut int
	// Seed makes the run repeatable.
	Seed uint64
}

// Result is what a run showed.
type Result struct {
	// Messages and Bytes are what each instance sends a second in peace.
	Messages float64
	// Bytes counts the transport's part too.
	Bytes float64
	// Processor is the time that one message takes to decide, in microseconds
	// of this machine.
	Processor float64
	// Detected is when the last instance learned of a killed one.
	Detected time.Duration
	// FalseDeaths is how often a live instance was taken for dead.
	FalseDeaths int
	// Healed is when all agreed again after the regions were joined.
	Healed time.Duration
}

type delivery struct {
	at time.Time
	to int
	m  member.Message
}

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

type run struct {
	options  Options
	random   *rand.Rand
	now      time.Time
	tables   []member.Table
	tickAt   []time.Time
	dead     map[int]bool
	index    map[rosemarylb.InstanceID]int
	transit  deliveries
	cut      bool
	messages int
	bytes    int
	decided  time.Duration
}

// step is the unit of simulated time.
const step = 10 * time.Millisecond

// Run plays a fleet: ten steady seconds, the loss of one instance, and a cut
// between the regions if one is asked for.
func Run(o Options) Result {
	r := newRun(o)
	r.play(2 * time.Second)
	r.messages, r.bytes, r.decided = 0, 0, 0
	const steady = 10 * time.Second
	r.play(steady)
	perInstance := float64(o.Members) * steady.Seconds()
	result := Result{
		Messages:  float64(r.messages) / perInstance,
		Bytes:     float64(r.bytes) / perInstance,
		Processor: float64(r.decided.Microseconds()) / float64(max(r.messages, 1)),
	}
	r.dead[0] = true
	result.Detected = r.until(func(v rosemarylb.View) bool {
		m, found := v.Member(name(0))
		return !found || m.Status == rosemarylb.MemberDead
	})
	result.FalseDeaths = r.countFalse()
	if o.Cut > 0 {
		r.cut = true
		r.play(time.Duration(o.Cut) * time.Second)
		r.cut = false
		result.Healed = r.until(r.agrees)
	}
	return result
}

func name(n int) rosemarylb.InstanceID {
	return rosemarylb.InstanceID(fmt.Sprintf("proxy-%05d", n))
}

func newRun(o Options) *run {
	r := &run{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, 3)),
		now:     time.Unix(1000, 0),
		dead:    map[int]bool{},
		index:   map[rosemarylb.InstanceID]int{},
	}
	var members []rosemarylb.Member
	for n := range o.Members {
		members = append(members, rosemarylb.Member{
			ID:          name(n),
			Address:     fmt.Sprintf("10.0.%d.%d:6433", n/256, n%256),
			Domain:      rosemarylb.DomainName(fmt.Sprintf("domain-%d", n%(3*regions))),
			Region:      rosemarylb.RegionName(fmt.Sprintf("region-%d", n%regions)),
			Incarnation: uint64(1800000000000 + n),
		})
		r.index[name(n)] = n
	}
	for n := range o.Members {
		r.tables = append(r.tables, member.NewTable(members[n], member.WithSeed(o.Seed+uint64(n)),
			member.WithMembers(members, r.now)))
		r.tickAt = append(r.tickAt, r.now.Add(time.Duration(r.random.Int64N(int64(member.HeartbeatInterval)))))
	}
	return r
}

func (r *run) play(span time.Duration) {
	until := r.now.Add(span)
	for r.now.Before(until) {
		r.now = r.now.Add(step)
		r.deliver()
		for n := range r.tables {
			if r.dead[n] || r.now.Before(r.tickAt[n]) {
				continue
			}
			t, messages := r.tables[n].WithTick(r.now)
			r.tables[n] = t
			r.tickAt[n] = t.Next()
			r.send(n, messages)
		}
	}
}

func (r *run) deliver() {
	for len(r.transit) > 0 && !r.transit[0].at.After(r.now) {
		d := heap.Pop(&r.transit).(delivery)
		if r.dead[d.to] {
			continue
		}
		began := time.Now()
		t, messages := r.tables[d.to].WithHeartbeat(d.m.Heartbeat, d.at)
		r.decided += time.Since(began)
		r.tables[d.to] = t
		r.send(d.to, messages)
	}
}

func (r *run) send(from int, messages []member.Message) {
	for _, m := range messages {
		to := r.index[m.To.ID]
		r.messages++
		r.bytes += instance.HeartbeatSize(m.Heartbeat) + frameBytes
		far := from%regions != to%regions
		if r.cut && far || r.random.Float64() < r.options.Loss {
			continue
		}
		latency := nearLatency
		if far {
			latency = farLatency
		}
		heap.Push(&r.transit, delivery{
			at: r.now.Add(latency),
			to: to,
			m:  m,
		})
	}
}

// until plays until every live instance's view passes, at most a minute.
func (r *run) until(passes func(rosemarylb.View) bool) time.Duration {
	began := r.now
	for r.now.Sub(began) < time.Minute {
		if r.all(passes) {
			return r.now.Sub(began)
		}
		r.play(step)
	}
	return time.Minute
}

func (r *run) all(passes func(rosemarylb.View) bool) bool {
	for n := range r.tables {
		if !r.dead[n] && !passes(r.tables[n].View()) {
			return false
		}
	}
	return true
}

func (r *run) agrees(v rosemarylb.View) bool {
	for _, m := range v.Members {
		if (m.Status == rosemarylb.MemberDead) != r.dead[r.index[m.ID]] {
			return false
		}
	}
	return true
}

// countFalse counts live instances that refuted their death: each one raised
// its incarnation.
func (r *run) countFalse() int {
	count := 0
	for n := range r.tables {
		if r.dead[n] {
			continue
		}
		first := uint64(1800000000000 + n)
		count += int(r.tables[n].View().Self.Incarnation - first)
	}
	return count
}
