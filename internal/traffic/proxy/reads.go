package proxy

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/placement"
	"rosemarylb/internal/traffic/spill"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// knowledgeMargin is by how much an endpoint has to finish earlier to be preferred
	// to another one that was drawn: a third of the interval between permits, in which
	// other instances have sent requests that this one does not know of.
	knowledgeMargin = 40 * time.Millisecond
	// maxLoadAge is the age at which a load that the keeper reported no longer counts.
	maxLoadAge = 3 * time.Second
)

// readsByDistance counts the reads that any endpoint of a group may serve, by distance.
var readsByDistance = [spill.DistanceCount]*metrics.Counter{
	metrics.NewCounter(`rosemarylb_proxy_reads_total{distance="domain"}`),
	metrics.NewCounter(`rosemarylb_proxy_reads_total{distance="region"}`),
	metrics.NewCounter(`rosemarylb_proxy_reads_total{distance="other-region"}`),
}

// readShares are the highest shares of a rank's reads that the balancers send to a
// distance beyond the nearest one.
var readShares = [spill.DistanceCount]*metrics.Gauge{
	spill.DistanceRegion: metrics.NewGauge(`rosemarylb_proxy_read_share{distance="region"}`, nil),
	spill.DistanceRemote: metrics.NewGauge(`rosemarylb_proxy_read_share{distance="other-region"}`, nil),
}

// travelPrices are how much longer a read waits here rather than travel, by distance, on
// top of the latency of the network.
var travelPrices = [spill.DistanceCount]time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond}

// readOptions are the endpoints that may serve a read, and what they are expected to take.
type readOptions struct {
	endpoints  []*endpointPool
	candidates []spill.Candidate
}

// readOptions returns the endpoints that may serve a read and that this instance reaches.
func (p *Proxy) readOptions(g *group, pq *pendingQuery, now time.Time) readOptions {
	var o readOptions
	for _, ep := range g.pools {
		if p.mayServeRead(ep, pq, now) && p.reaches(ep, pq, now) {
			o = o.with(ep, p.candidate(ep, now))
		}
	}
	return o.withPrimarySpared()
}

func (o readOptions) with(ep *endpointPool, c spill.Candidate) readOptions {
	o.endpoints = append(o.endpoints, ep)
	o.candidates = append(o.candidates, c)
	return o
}

// withPrimarySpared returns the options without a weight of the primary, unless it
// finishes earlier than all others in use.
func (o readOptions) withPrimarySpared() readOptions {
	best := o.earliest(func(i int) bool {
		return o.candidates[i].Weight > 0
	})
	for i, ep := range o.endpoints {
		if ep.leads() && best >= 0 && best != i {
			o.candidates[i].Weight = 0
		}
	}
	return o
}

// earliest returns the index of the option that finishes first among those that a
// function accepts, -1 if there is none.
func (o readOptions) earliest(accepts func(i int) bool) int {
	best := -1
	for i, c := range o.candidates {
		if accepts(i) && (best < 0 || c.FinishAt.Before(o.candidates[best].FinishAt)) {
			best = i
		}
	}
	return best
}

// leads reports whether the endpoint is the primary of the last permit.
func (ep *endpointPool) leads() bool {
	return ep.group.permit.Primary == ep.spec.ID
}

// reaches reports whether this instance has a way to an endpoint, or may open one. An
// attempt that takes unusually long is none.
func (p *Proxy) reaches(ep *endpointPool, pq *pendingQuery, now time.Time) bool {
	stalled := false
	for _, c := range ep.connections {
		if c.state != connectionOpening || !c.openStalled(now) {
			return true
		}
		stalled = true
	}
	if p.usesTeams() {
		return p.teamPathTo(ep, pq, now) != teamPath{}
	}
	return !stalled && ep.canOpen(p.connectionLimit(ep), now)
}

// candidate returns what an endpoint is expected to take for a read.
func (p *Proxy) candidate(ep *endpointPool, now time.Time) spill.Candidate {
	return spill.Candidate{
		Candidate: placement.Candidate{
			FinishAt: p.expectedFinish(ep, now),
			Weight:   ep.group.balancing.detector.Weight(ep.spec.ID, now),
		},
		Distance: p.distanceTo(ep),
	}
}

func (p *Proxy) distanceTo(ep *endpointPool) spill.Distance {
	return spill.DistanceOf(p.domain, p.region, ep.spec)
}

// expectedFinish returns the expected time of the answer of an endpoint to a read. A
// request waits only if no slot is known to be free. What the latency exceeds the usual
// service time by is counted as the network's.
func (p *Proxy) expectedFinish(ep *endpointPool, now time.Time) time.Time {
	service := ep.group.balancing.serviceTime()
	ahead := max(ep.ahead(now)-ep.slots()+1, 0)
	at := placement.ExpectedFinish(now, service, (p.latencyOf(ep, now)-service)/2, ep.slots(), ahead)
	if ep.leads() {
		at = at.Add(costPrimary)
	}
	return at
}

// slots returns the number of statements that the endpoint runs at a time.
func (ep *endpointPool) slots() int {
	return max(ep.spec.Slots, 1)
}

// ahead returns the number of statements that the endpoint is known to run, by this
// instance and by what the keeper reports.
func (ep *endpointPool) ahead(now time.Time) int {
	own := ep.count(connectionBusy)
	if now.Sub(ep.load.ObservedAt) < maxLoadAge {
		return max(own, ep.load.Busy)
	}
	return own
}

// latencyOf returns the latency of an endpoint by the answers that this instance got, or
// by its distance without recent ones.
func (p *Proxy) latencyOf(ep *endpointPool, now time.Time) time.Duration {
	return ep.stats.latencyAt(ep.group.balancing.serviceTime()+p.networkCost(ep), now)
}

// recordLatency counts the time that an endpoint took for a statement.
func (p *Proxy) recordLatency(ep *endpointPool, took time.Duration, now time.Time) {
	ep.stats = ep.stats.withLatency(took, now)
	service := took - p.networkCost(ep)
	if service > 0 && ep.ahead(now) <= ep.slots() {
		ep.group.balancing = ep.group.balancing.withService(service)
	}
}

// networkCost returns the assumed latency of the network, both ways.
func (p *Proxy) networkCost(ep *endpointPool) time.Duration {
	switch p.distanceTo(ep) {
	case spill.DistanceRemote:
		return costOtherRegion
	case spill.DistanceRegion:
		return costOtherDomain
	default:
		return 0
	}
}

// readChoice is the decision where a read goes.
type readChoice struct {
	// target is the endpoint that takes the read now, nil if it has to wait.
	target *endpointPool
	// preferred is the endpoint that the read is to go to, nil if none may serve it.
	preferred *endpointPool
	// others are the endpoints to connect to for a read that has to wait, as the
	// preferred one takes no further connection.
	others []*endpointPool
	// leavesRegion is true if the read goes to another region though an endpoint in
	// this one may serve it.
	leavesRegion bool
	// isClose is true if the target finishes hardly later than the preferred endpoint.
	isClose bool
}

// chooseRead decides where a read goes. While the preferred endpoint has no free
// connection, the read goes to another one at the same distance, or farther away once it
// has waited for longer than it takes to travel.
func (p *Proxy) chooseRead(g *group, pq *pendingQuery, now time.Time) readChoice {
	o := p.readOptions(g, pq, now)
	if len(o.endpoints) == 0 {
		pq.excluded = nil
		return readChoice{}
	}
	i := g.balancing.balancer.Choose(o.candidates, pq.route.Rank, knowledgeMargin, pq.numbers())
	if i < 0 {
		i = o.earliest(func(int) bool {
			return true
		})
	}
	c := readChoice{
		preferred: o.endpoints[i],
	}
	t := i
	if !p.canTake(o.endpoints[i], pq, now) {
		t = p.otherOption(o, i, pq, now)
	}
	if t < 0 {
		c.others = p.replacements(o, i, pq, now)
		return c
	}
	c.target = o.endpoints[t]
	c.isClose = o.candidates[t].FinishAt.Sub(o.candidates[i].FinishAt) < initialLatency
	if o.candidates[t].Distance == spill.DistanceRemote {
		for _, other := range o.candidates {
			c.leavesRegion = c.leavesRegion || other.Distance < spill.DistanceRemote && other.Weight > 0
		}
	}
	return c
}

// otherOption returns the index of the option that takes a read now in place of the
// preferred one, the nearest first, -1 if it has to wait. The spared primary comes last.
func (p *Proxy) otherOption(o readOptions, preferred int, pq *pendingQuery, now time.Time) int {
	for d := range spill.Distance(spill.DistanceCount) {
		eligible := make([]placement.Candidate, len(o.candidates))
		for i, c := range o.candidates {
			eligible[i] = c.Candidate
			if c.Distance != d || !p.mayReplace(o, i, preferred, pq, now) || !p.canTake(o.endpoints[i], pq, now) {
				eligible[i].Weight = 0
			}
		}
		if i := placement.Choose(eligible, knowledgeMargin, pq.random[1], pq.random[2]); i >= 0 {
			return i
		}
	}
	return o.earliest(func(i int) bool {
		ep := o.endpoints[i]
		return ep.leads() && p.mayReplace(o, i, preferred, pq, now) && p.canTake(ep, pq, now)
	})
}

// replacements returns the endpoints in use that are worth to take a read in place of the
// preferred one, if that takes no further connection now.
func (p *Proxy) replacements(o readOptions, preferred int, pq *pendingQuery, now time.Time) []*endpointPool {
	ep := o.endpoints[preferred]
	opens := ep.canOpen(p.connectionLimit(ep), now)
	if p.usesTeams() {
		opens = p.teamPathTo(ep, pq, now) != teamPath{}
	}
	if opens || ep.count(connectionOpening) > 0 {
		return nil
	}
	var others []*endpointPool
	for i, other := range o.endpoints {
		if o.candidates[i].Weight > 0 && p.mayReplace(o, i, preferred, pq, now) {
			others = append(others, other)
		}
	}
	return others
}

// mayReplace reports whether an option is worth to take a read in place of the preferred
// one: it finishes no later than by the time that the read has waited, the price of travel
// included, or by the margin at the same distance.
func (p *Proxy) mayReplace(o readOptions, i, preferred int, pq *pendingQuery, now time.Time) bool {
	c, wanted, ep := o.candidates[i], o.candidates[preferred], o.endpoints[i]
	extra, allowed := c.FinishAt.Sub(wanted.FinishAt), now.Sub(pq.arrivedAt)
	switch {
	case c.Distance > wanted.Distance:
		extra += travelPrices[c.Distance]
	case !ep.leads():
		allowed += knowledgeMargin
	}
	leavesRegion := c.Distance == spill.DistanceRemote && wanted.Distance < spill.DistanceRemote
	if leavesRegion && !ep.group.balancing.balancer.HasBudget() {
		return false
	}
	return i != preferred && extra <= allowed
}

// numbers returns a function that returns the random numbers of the query, which stay
// the same until it is tried again.
func (pq *pendingQuery) numbers() func() float64 {
	next := 0
	return func() float64 {
		n := pq.random[next%len(pq.random)]
		next++
		return n
	}
}

// draw gives a query new random numbers.
func (p *Proxy) draw(pq *pendingQuery) {
	for i := range pq.random {
		pq.random[i] = p.random()
	}
}

// sample records the expected finishes of a group at each distance.
func (p *Proxy) sample(g *group, now time.Time) {
	if now.Before(g.balancing.sampleAt) {
		return
	}
	g.balancing.sampleAt = now.Add(sampleInterval)
	var o readOptions
	for _, ep := range g.pools {
		if p.acceptsReads(ep, now) {
			o = o.with(ep, p.candidate(ep, now))
		}
	}
	o = o.withPrimarySpared()
	for d := range spill.Distance(spill.DistanceCount) {
		total, weight := time.Duration(0), 0.0
		for _, c := range o.candidates {
			if c.Distance == d {
				total += time.Duration(c.Weight * float64(c.FinishAt.Sub(now)))
				weight += c.Weight
			}
		}
		if weight > 0 {
			mean := time.Duration(float64(total) / weight)
			g.balancing = g.balancing.withSample(d, now.Add(mean), now)
		}
	}
}

// recordPlacement counts a read that is sent to an endpoint.
func (p *Proxy) recordPlacement(pq *pendingQuery, c readChoice, now time.Time) {
	g, d := c.preferred.group, p.distanceTo(c.preferred)
	pq.leavesRegion = c.leavesRegion
	readsByDistance[p.distanceTo(c.target)].Inc()
	if pq.attempts == 0 {
		g.balancing = g.balancing.withWait(d, pq.route.Rank, now.Sub(pq.arrivedAt), now)
	}
}

// recordTransfer counts the bytes of a read that has left the region. All groups share
// the link.
func (p *Proxy) recordTransfer(pq *pendingQuery, r rosemarylb.Reply, now time.Time) {
	if !pq.leavesRegion {
		return
	}
	bytes := len(pq.query.Text) + len(r.Signature)
	for _, row := range r.Rows {
		bytes += len(row)
	}
	for _, g := range p.groups {
		g.balancing = g.balancing.withTransfer(bytes, now)
	}
}

// applyLoads replaces the loads of all endpoints.
func (p *Proxy) applyLoads(e LoadsReceived) {
	for _, ep := range p.pools {
		ep.load = rosemarylb.EndpointLoad{}
	}
	for _, l := range e.Loads {
		if ep, found := p.pools[l.Endpoint]; found {
			ep.load = l
		}
	}
}

// publishShares updates the gauges of the shares sent out.
func (p *Proxy) publishShares() {
	for d := spill.DistanceRegion; d < spill.DistanceCount; d++ {
		highest := 0.0
		for _, g := range p.groups {
			for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
				highest = max(highest, g.balancing.balancer.Share(d, rank))
			}
		}
		readShares[d].Set(highest)
	}
}
