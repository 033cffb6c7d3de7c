package proxy

import (
	"time"

	"rosemarylb"
)

// maxPipelinedReads is the maximum number of reads in flight on a connection to
// another region, where the round trip takes longer than the read.
const maxPipelinedReads = 3

// pipelineTarget returns the connection to an endpoint in another region with
// the fewest pipelined reads, nil if none can take another read. Connections of teams
// take none: their owners are near the endpoint.
func (p *Proxy) pipelineTarget(ep *endpointPool) *connection {
	if ep.spec.Region == p.region || p.usesTeams() {
		return nil
	}
	var best *connection
	for _, c := range ep.connections {
		if c.state != connectionBusy || c.current == nil || !c.current.allowsPipelining() || c.closing {
			continue
		}
		if len(c.pipelined) >= maxPipelinedReads-1 || best != nil && len(c.pipelined) >= len(best.pipelined) {
			continue
		}
		best = c
	}
	return best
}

// allowsPipelining reports whether another read may be sent before the reply to
// this query: it is a sent read outside a transaction.
func (pq *pendingQuery) allowsPipelining() bool {
	return pq.sent && !pq.inTransaction && pq.isIdempotent()
}

// acceptsPipelined reports whether a query may be pipelined on the connection:
// it is a read outside a transaction that needs no setup steps.
func (c *connection) acceptsPipelined(pq *pendingQuery) bool {
	return !pq.inTransaction && pq.isIdempotent() && len(c.setupSteps(pq)) == 0
}

// pipelineRead sends a read on a connection that still awaits the reply to
// another.
func (p *Proxy) pipelineRead(pq *pendingQuery, c *connection, now time.Time) {
	p.assign(pq, c)
	pq.steps = []rosemarylb.Query{p.queryForEndpoint(pq, c)}
	c.pipelined = append(c.pipelined, pq)
	p.sendStep(pq, now)
}

// nextPipelined makes the next pipelined read the current query of the
// connection. It reports whether there was one.
func (c *connection) nextPipelined() bool {
	if len(c.pipelined) == 0 {
		return false
	}
	c.state = connectionBusy
	c.expiresAt = time.Time{}
	c.current = c.pipelined[0]
	c.pipelined = c.pipelined[1:]
	return true
}

// failPipelined resolves the reads that were pipelined on a closed or lost
// connection.
func (p *Proxy) failPipelined(c *connection, now time.Time) {
	pipelined := c.pipelined
	c.pipelined = nil
	for _, pq := range pipelined {
		pq.connection = c
		p.resolveLost(pq, now)
	}
}
