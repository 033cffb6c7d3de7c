// Package freshness decides which position a read has to see, from positions
// that were asked of the primary.
package freshness

import (
	"time"

	"rosemarylb"
)

const (
	// sampleSpacing is the least time between two samples that are kept.
	sampleSpacing = 25 * time.Millisecond
	// sampleLimit is how many samples are kept; with the spacing they reach
	// back over the staleness that routes ask for.
	sampleLimit = 128
)

// Sample is a position that holds every commit acknowledged before a time.
type Sample struct {
	// At is that time: when the primary was asked, under a permit.
	At time.Time
	// Position is the primary's last entry.
	Position rosemarylb.Position
}

// Samples are the positions of one group's primary in one term.
type Samples struct {
	term rosemarylb.Term
	all  []Sample
}

// Term returns the term of the samples.
func (s Samples) Term() rosemarylb.Term {
	return s.term
}

// WithSample returns the samples with one more. A sample of a later term
// replaces those of the earlier one, which prove nothing of it.
func (s Samples) WithSample(n Sample) Samples {
	if n.Position.Term < s.term {
		return s
	}
	if n.Position.Term > s.term {
		return Samples{
			term: n.Position.Term,
			all:  []Sample{n},
		}
	}
	last := len(s.all) - 1
	if last >= 0 && n.At.Sub(s.all[last].At) < sampleSpacing {
		return s
	}
	all := make([]Sample, 0, len(s.all)+1)
	all = append(all, s.all...)
	all = append(all, n)
	if len(all) > sampleLimit {
		all = all[1:]
	}
	s.all = all
	return s
}

// Covering returns the earliest known position that holds every commit
// acknowledged before a time, false when none is known.
func (s Samples) Covering(asOf time.Time) (rosemarylb.Position, bool) {
	for _, c := range s.all {
		if !c.At.Before(asOf) {
			return c.Position, true
		}
	}
	return rosemarylb.Position{}, false
}

// Required returns the position that a read has to see: what was acknowledged
// before a time and the session's own commits. It is false when only the
// primary can tell.
func (s Samples) Required(asOf time.Time, floor rosemarylb.Position) (rosemarylb.Position, bool) {
	p, found := s.Covering(asOf)
	if !found || floor.Term > s.term {
		return rosemarylb.Position{}, false
	}
	// Each position of a term holds what that term kept of the earlier ones.
	if floor.Term == s.term && p.Less(floor) {
		return floor, true
	}
	return p, true
}
