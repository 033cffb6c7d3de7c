// Package ownership compares ways to share the connections to an endpoint among
// instances when each connection belongs to a team. It plays the arrivals of
// operations at one endpoint and counts connections, openings and relays.
package ownership

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/ownership"
)

const (
	// zipfExponent is the exponent of the teams' shares of the load.
	zipfExponent = 1.2
	// transactionShare is the share of operations that are transactions.
	transactionShare = 0.25
	// statementTime and transactionTime are the mean times for which a single statement
	// and a transaction occupy a connection.
	statementTime   = 18 * time.Millisecond
	transactionTime = 600 * time.Millisecond
	// openingTime is the time to open a connection.
	openingTime = 12 * time.Millisecond
)

// Options are the rates that the model plays.
type Options struct {
	// Instances is the number of instances, all near the endpoint.
	Instances int
	// Teams is the number of teams.
	Teams int
	// Connections is the number of connections that the endpoint accepts.
	Connections int
	// PerSecond is the number of operations that arrive at the endpoint each second.
	PerSecond float64
	// IdleSeconds is the time after which an idle connection is closed.
	IdleSeconds float64
	// Owners is the number of owners, 0 for a pool on every instance.
	Owners int
	// Seed is the seed of the arrivals.
	Seed uint64
}

// Result are the counts of a run.
type Result struct {
	// Open is the mean number of open connections.
	Open float64
	// OpeningsPerSecond is the number of connections opened each second.
	OpeningsPerSecond float64
	// RelayedPercent is the share of operations that ran through another instance.
	RelayedPercent float64
	// BlockedPercent is the share of operations that found no connection.
	BlockedPercent float64
}

// connection is a connection of an instance. Its times are in seconds.
type connection struct {
	instance int
	team     int
	freeAt   float64
}

type model struct {
	options     Options
	random      *rand.Rand
	connections []connection
	perInstance map[int]int
	ranked      [][]int
	openings    int
	blocked     int
	relayed     int
}

// Run plays a number of seconds.
func Run(o Options, seconds float64) Result {
	m := &model{
		options:     o,
		random:      rand.New(rand.NewPCG(o.Seed, 1)),
		perInstance: map[int]int{},
	}
	m.rankOwners()
	cumulative := teamShares(o.Teams)
	operations, open := 0, 0
	for now := 0.0; now < seconds; now += m.random.ExpFloat64() / o.PerSecond {
		m.closeIdle(now)
		m.arrive(now, pick(cumulative, m.random.Float64()), m.random.IntN(o.Instances))
		open += len(m.connections)
		operations++
	}
	percent := 100 / float64(operations)
	return Result{
		Open:              float64(open) / float64(operations),
		OpeningsPerSecond: float64(m.openings) / seconds,
		RelayedPercent:    float64(m.relayed) * percent,
		BlockedPercent:    float64(m.blocked) * percent,
	}
}

// rankOwners ranks the owners for each team with the hashing of the product.
func (m *model) rankOwners() {
	if m.options.Owners == 0 {
		return
	}
	peers := make([]rosemarylb.RelayPeer, m.options.Owners)
	for i := range peers {
		peers[i].Address = strconv.Itoa(i)
	}
	owners := ownership.NewOwners(rosemarylb.EndpointSpec{}, peers, math.MaxInt32)
	for team := range m.options.Teams {
		var ranked []int
		for _, address := range owners.RankedFor(rosemarylb.TeamName(strconv.Itoa(team))) {
			i, _ := strconv.Atoi(address)
			ranked = append(ranked, i)
		}
		m.ranked = append(m.ranked, ranked)
	}
}

// arrive runs an operation of a team that entered at an instance.
func (m *model) arrive(now float64, team, entry int) {
	candidates, limit := []int{entry}, max(m.options.Connections/m.options.Instances, 1)
	if m.options.Owners > 0 {
		candidates, limit = m.ranked[team], ownership.Limit(m.options.Connections)
	}
	for _, instance := range candidates {
		if c := m.acquire(now, instance, team, limit); c != nil {
			c.freeAt = max(c.freeAt, now) + m.holdTime()
			if instance != entry {
				m.relayed++
			}
			return
		}
	}
	m.blocked++
}

// acquire returns a connection of an instance for a team, nil if there is no room.
func (m *model) acquire(now float64, instance, team, limit int) *connection {
	oldest := -1
	for i := range m.connections {
		c := &m.connections[i]
		if c.instance != instance || c.freeAt > now {
			continue
		}
		if c.team == team {
			return c
		}
		if oldest < 0 || c.freeAt < m.connections[oldest].freeAt {
			oldest = i
		}
	}
	opened := connection{
		instance: instance,
		team:     team,
		freeAt:   now + openingTime.Seconds(),
	}
	switch {
	case m.perInstance[instance] < limit && len(m.connections) < m.options.Connections:
		m.connections = append(m.connections, opened)
		m.perInstance[instance]++
		oldest = len(m.connections) - 1
	case oldest < 0:
		return nil
	default:
		m.connections[oldest] = opened
	}
	m.openings++
	return &m.connections[oldest]
}

// closeIdle closes the connections that have been idle for too long.
func (m *model) closeIdle(now float64) {
	kept := m.connections[:0]
	for _, c := range m.connections {
		if now-c.freeAt > m.options.IdleSeconds {
			m.perInstance[c.instance]--
			continue
		}
		kept = append(kept, c)
	}
	m.connections = kept
}

// holdTime returns for how many seconds an operation occupies its connection.
func (m *model) holdTime() float64 {
	mean := statementTime
	if m.random.Float64() < transactionShare {
		mean = transactionTime
	}
	return m.random.ExpFloat64() * mean.Seconds()
}

// teamShares returns the cumulative shares of the teams.
func teamShares(teams int) []float64 {
	cumulative := make([]float64, teams)
	total := 0.0
	for i := range cumulative {
		total += math.Pow(float64(i+1), -zipfExponent)
		cumulative[i] = total
	}
	for i := range cumulative {
		cumulative[i] /= total
	}
	return cumulative
}

func pick(cumulative []float64, r float64) int {
	for i, share := range cumulative {
		if r < share {
			return i
		}
	}
	return len(cumulative) - 1
}
