// Package outlier decides which endpoints of a group receive fewer reads or none,
// because their failure rate or latency stands out from the group or because they have
// just started. Only the outcomes of requests decide; what an endpoint reports about
// its health does not.
//
// It is designed for groups of up to 20 endpoints and 1,000 outcomes a second at an
// instance. Each instance decides for itself, by its own outcomes.
package outlier

import (
	"slices"
	"time"

	"rosemarylb"
)

const (
	// minEjection is how long an endpoint is ejected first. It doubles with each
	// further ejection up to maxEjection. It is shorter than the timeouts of callers, so
	// that requests that wait for the endpoint survive a false ejection.
	minEjection = time.Second
	maxEjection = 32 * time.Second
	// forgetAfter is how long after its return an endpoint that was not ejected again
	// starts with minEjection anew.
	forgetAfter = time.Minute
	// probeWeight is the weight of an endpoint whose ejection is over.
	probeWeight = 0.05
	// probeCount is the number of requests in a row that have to succeed before such an
	// endpoint returns.
	probeCount = 3
	// slowStart is how long after its return, or after a start of unknown kind, an
	// endpoint takes to reach its full weight.
	slowStart = 5 * time.Second
	// minWeight is the weight at the begin of the slow start.
	minWeight = 0.1
	// ejectedDivisor gives the number of endpoints that may be ejected or probed at a
	// time, from the number in the group. Smaller groups eject none.
	ejectedDivisor = 3
)

// Outcome is the outcome of a request.
type Outcome struct {
	// Failed is true if the endpoint failed the request or did not answer. Errors of
	// the statement itself are no failures.
	Failed bool
	// ReceivedAt is the time at which the endpoint received the request, by estimate,
	// so that the distance to an endpoint does not count.
	ReceivedAt time.Time
}

// State is the state of an endpoint in the detector.
type State uint8

// The states of an endpoint.
const (
	// StateNormal is an endpoint with its full weight.
	StateNormal State = iota
	// StateEjected is an endpoint that receives no requests.
	StateEjected
	// StateProbed is an endpoint that receives few requests after its ejection.
	StateProbed
	// StateWarming is an endpoint in its slow start.
	StateWarming
)

var stateNames = [...]string{"normal", "ejected", "probed", "warming"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Detector is the immutable state of the endpoints of a group. The zero value is a
// group without endpoints.
type Detector struct {
	endpoints []endpoint
}

// WithStart adds an endpoint, or records that a known one has started anew. It is slow
// until warmAt; the zero time stands for the usual slow start.
func (d Detector) WithStart(id rosemarylb.EndpointID, warmAt, now time.Time) Detector {
	if warmAt.IsZero() {
		warmAt = now.Add(slowStart)
	}
	return d.with(endpoint{
		id:        id,
		warmFrom:  now,
		warmUntil: warmAt,
	})
}

// WithoutEndpoint removes an endpoint. Ejected ones return if the smaller group may
// have fewer of them.
func (d Detector) WithoutEndpoint(id rosemarylb.EndpointID, now time.Time) Detector {
	d.endpoints = slices.DeleteFunc(slices.Clone(d.endpoints), func(e endpoint) bool {
		return e.id == id
	})
	for i, e := range d.endpoints {
		if e.isOut() && d.outCount() > d.outLimit() {
			d.endpoints[i] = e.withReturn(now)
		}
	}
	return d
}

// WithOutcome records the outcome of a request. An endpoint that is not known is added
// as a warm one.
func (d Detector) WithOutcome(id rosemarylb.EndpointID, o Outcome, now time.Time) Detector {
	e, known := d.find(id)
	if !known {
		e.id = id
	}
	e = e.withOutcome(o, now)
	d = d.with(e)
	switch {
	case e.isOut():
		if now.Before(e.ejectedUntil) {
			// A request that was sent before the ejection.
			return d
		}
		return d.with(d.withProbe(e, o, now))
	case d.standsOut(e, now) && d.outCount() < d.outLimit():
		return d.with(e.withEjection(now))
	}
	return d
}

// withProbe returns an endpoint after a request that was sent as a probe.
func (d Detector) withProbe(e endpoint, o Outcome, now time.Time) endpoint {
	if o.Failed || d.isSlow(now.Sub(o.ReceivedAt).Seconds(), e.id) {
		return e.withEjection(now)
	}
	e.probes++
	if e.probes < probeCount {
		return e
	}
	return e.withReturn(now)
}

// Weight returns the part of the usual requests that an endpoint may receive, between 0
// for none and 1. An endpoint that is not known has 1.
func (d Detector) Weight(id rosemarylb.EndpointID, now time.Time) float64 {
	e, _ := d.find(id)
	switch e.state(now) {
	case StateEjected:
		return 0
	case StateProbed:
		return probeWeight
	case StateWarming:
		warm := now.Sub(e.warmFrom).Seconds() / e.warmUntil.Sub(e.warmFrom).Seconds()
		return max(warm, minWeight)
	default:
		return 1
	}
}

// State returns the state of an endpoint.
func (d Detector) State(id rosemarylb.EndpointID, now time.Time) State {
	e, _ := d.find(id)
	return e.state(now)
}

func (d Detector) find(id rosemarylb.EndpointID) (endpoint, bool) {
	for _, e := range d.endpoints {
		if e.id == id {
			return e, true
		}
	}
	return endpoint{}, false
}

// with adds or replaces an endpoint.
func (d Detector) with(e endpoint) Detector {
	d.endpoints = slices.Clone(d.endpoints)
	for i := range d.endpoints {
		if d.endpoints[i].id == e.id {
			d.endpoints[i] = e
			return d
		}
	}
	d.endpoints = append(d.endpoints, e)
	return d
}

// outLimit returns the number of endpoints that may be ejected or probed at a time.
func (d Detector) outLimit() int {
	return len(d.endpoints) / ejectedDivisor
}

// outCount returns the number of endpoints that are ejected or probed.
func (d Detector) outCount() int {
	count := 0
	for _, e := range d.endpoints {
		if e.isOut() {
			count++
		}
	}
	return count
}
