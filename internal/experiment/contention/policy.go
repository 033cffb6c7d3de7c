package contention

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/queue"
)

// nominalService is the service time that a policy by count reports for each request.
const nominalService = 20 * time.Millisecond

// Policy is an order in which the queue serves requests. All policies use the queue of
// the proxy; those for comparison hide from it what they do not regard.
type Policy struct {
	// Name is the name in reports.
	Name string
	// Ordered is false if the queue knows neither teams nor ranks, so that it serves
	// requests in the order of their arrival.
	Ordered bool
	// ByTime is true if the queue knows the service time of each request.
	ByTime bool
	// Admission is true if the queue refuses requests that would miss their deadlines.
	Admission bool
}

// Policies returns the compared policies; the last one is that of the proxy.
func Policies() []Policy {
	var policies []Policy
	for _, admission := range []bool{false, true} {
		suffix := ""
		if admission {
			suffix = "-admission"
		}
		policies = append(policies,
			Policy{
				Name:      "fifo" + suffix,
				ByTime:    true,
				Admission: admission,
			},
			Policy{
				Name:      "count" + suffix,
				Ordered:   true,
				Admission: admission,
			},
			Policy{
				Name:      "time" + suffix,
				Ordered:   true,
				ByTime:    true,
				Admission: admission,
			},
		)
	}
	return policies
}

func (p Policy) newQueue(slots, depth int, shares [rosemarylb.RankCount]int) rosemarylb.Queue {
	options := []queue.Option{queue.WithSlots(slots), queue.WithMaxDepth(depth), queue.WithMinShares(shares)}
	if !p.Admission {
		options = append(options, queue.WithoutLoadShedding())
	}
	return queue.NewPriorityQueue(options...)
}

// visible returns a request as the queue sees it.
func (p Policy) visible(r rosemarylb.Request) rosemarylb.Request {
	if !p.Ordered {
		r.Caller, r.Rank = "", rosemarylb.RankStandard
	}
	return r
}

// reported returns the service time that the queue learns.
func (p Policy) reported(service time.Duration) time.Duration {
	if !p.ByTime {
		return nominalService
	}
	return service
}
