package budget

import (
	"log/slog"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Server names a server whose connections are limited.
type Server uint8

// The servers.
const (
	// ServerCallers serves callers.
	ServerCallers Server = iota
	// ServerRelays serves the queries that other instances relay.
	ServerRelays
	// ServerInstances serves the control traffic of other instances.
	ServerInstances
	// ServerReady serves readiness checks.
	ServerReady
	// ServerOperators serves metrics, dumps and operators.
	ServerOperators
	serverCount
)

// serverNames are the names of the servers in logs and metrics.
var serverNames = [serverCount]string{"callers", "relays", "instances", "ready", "operators"}

const (
	// descriptorParts is the number of parts into which the descriptors of a machine
	// are divided.
	descriptorParts = 64
	// inboundParts is the part of the descriptors that accepted connections may use.
	// The rest is for connections to endpoints, to the store and to other instances,
	// and for files.
	inboundParts = 48
)

// reservedParts are the parts that each server has to itself. What is left of
// inboundParts goes to the servers that need more.
var reservedParts = [serverCount]int64{16, 8, 8, 1, 1}

// Pool limits the numbers of connections that the servers of a process accept. Each
// server has connections reserved, and more as long as the reserved ones of the others
// stay free. It is safe for concurrent use.
type Pool struct {
	refusals *reporter
	limit    int64
	reserved [serverCount]int64

	mu   sync.Mutex // guards open
	open [serverCount]int64
}

// NewPool returns the pool of a process that may open the given number of descriptors.
// A value of 0 or less stands for the limit that the system sets.
func NewPool(maxDescriptors int64, log *slog.Logger) *Pool {
	if maxDescriptors <= 0 {
		maxDescriptors = processDescriptors()
	}
	p := &Pool{
		refusals: newReporter(log, "connections refused"),
		limit:    maxDescriptors * inboundParts / descriptorParts,
	}
	for s, parts := range reservedParts {
		p.reserved[s] = max(maxDescriptors*parts/descriptorParts, 1)
	}
	return p
}

// Acquire takes a connection for a server. It returns false if the server may not have
// another one.
func (p *Pool) Acquire(s Server) bool {
	open, acquired := p.acquire(s)
	if !acquired {
		refusedTotal[s].Inc()
		p.refusals.report("server", serverNames[s], "open", open)
	}
	return acquired
}

func (p *Pool) acquire(s Server) (open int64, acquired bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[s] >= p.reserved[s] {
		var claimed int64
		for other := range p.open {
			claimed += max(p.open[other], p.reserved[other])
		}
		if claimed >= p.limit {
			return p.open[s], false
		}
	}
	p.open[s]++
	return p.open[s], true
}

// Release returns a connection of a server.
func (p *Pool) Release(s Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[s]--
}

// refusedTotal counts the refused connections of each server.
var refusedTotal = func() (counters [serverCount]*metrics.Counter) {
	for s, name := range serverNames {
		counters[s] = metrics.NewCounter(`rosemarylb_connections_refused_total{server="` + name + `"}`)
	}
	return counters
}()
