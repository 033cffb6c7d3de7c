package proxy

import "time"

const (
	// paceWeight is the part of a new answer's time in the mean, one in so
	// many.
	paceWeight = 8
	// behindPause is how long a replica that lacked a position gets no reads;
	// it doubles up to the limit while it goes on.
	behindPause      = 20 * time.Millisecond
	behindPauseLimit = 640 * time.Millisecond
)

// pace is how fast an endpoint answers, and how far behind it is.
type pace struct {
	latency time.Duration
	behind  time.Duration
}

// withAnswer returns the pace told how long an answer took.
func (p pace) withAnswer(took time.Duration) pace {
	p.behind /= 2
	if p.latency == 0 {
		p.latency = took
		return p
	}
	p.latency += (took - p.latency) / paceWeight
	return p
}

// withBehind returns the pace of a replica that lacked a position, with a
// longer pause.
func (p pace) withBehind() pace {
	p.behind = min(max(p.behind*2, behindPause), behindPauseLimit)
	return p
}
