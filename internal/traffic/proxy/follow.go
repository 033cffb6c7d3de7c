package proxy

import (
	"time"

	"rosemarylb"
)

// followLimit is how many reads are on their way on one connection to another
// region: the way takes longer than the work there.
const followLimit = 3

// following returns a connection to an endpoint in another region on which a
// read may follow the one under way, nil if there is none.
func (p *Proxy) following(l *pool) *link {
	if l.spec.Region == p.region {
		return nil
	}
	var best *link
	for _, k := range l.links {
		if k.state != linkBusy || k.job == nil || !k.job.alone() || k.closing {
			continue
		}
		if len(k.behind) >= followLimit-1 || best != nil && len(k.behind) >= len(best.behind) {
			continue
		}
		best = k
	}
	return best
}

// alone reports whether the job is a single read that has been sent.
func (j *job) alone() bool {
	return j.sent && !j.inside && j.onlyReads()
}

// takes reports whether a read needs nothing laid onto the connection.
func (k *link) takes(j *job) bool {
	return !j.inside && j.onlyReads() && len(k.prelude(j)) == 0
}

// follow sends a read on a connection behind the one under way.
func (p *Proxy) follow(j *job, k *link, now time.Time) {
	p.prepare(j, k)
	j.steps = []rosemarylb.Query{p.waiting(j, k)}
	k.behind = append(k.behind, j)
	p.step(j, now)
}

// advance makes the next read that was sent on a connection the one whose
// reply is due, false if there is none.
func (k *link) advance() bool {
	if len(k.behind) == 0 {
		return false
	}
	k.state = linkBusy
	k.until = time.Time{}
	k.job = k.behind[0]
	k.behind = k.behind[1:]
	return true
}

// strand gives up the reads that followed on a connection that is gone.
func (p *Proxy) strand(k *link, now time.Time) {
	behind := k.behind
	k.behind = nil
	for _, j := range behind {
		j.link = k
		p.broken(j, now)
	}
}
