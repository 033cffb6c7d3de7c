package proxy

import (
	"time"

	"rosemarylb"
)

const (
	// maxHeldReplyBytes is the maximum size of the replies that wait for a permit.
	maxHeldReplyBytes = 8 << 20
	// smallReplyBytes is the size up to which a reply always waits: there is one for
	// each session at most.
	smallReplyBytes = 4 << 10
)

// hold keeps a reply of a primary until a permit covers it. While the keeper is lost,
// such replies wait until the deadlines of their queries, so that their size is
// limited: a large reply beyond the limit is dropped, and its query counts as
// unanswered. The reply to a query that may have committed always waits.
func (p *Proxy) hold(g *group, h heldReply, now time.Time) {
	size := replyBytes(h.reply)
	if size > smallReplyBytes && !h.query.mayCommitWrites() && p.heldReplyBytes()+size > maxHeldReplyBytes {
		p.log.Info("answer not held", "id", h.query.query.ID, "kind", h.query.query.Kind.String(), "bytes", size)
		p.releasePinned(h.query.session, now)
		p.completeUnanswered(h.query, now)
		return
	}
	g.heldReplies = append(g.heldReplies, h)
}

// heldReplyBytes returns the size of the replies that wait for a permit.
func (p *Proxy) heldReplyBytes() int64 {
	var bytes int64
	for _, g := range p.groups {
		for _, h := range g.heldReplies {
			bytes += replyBytes(h.reply)
		}
	}
	return bytes
}

// replyBytes returns the size of a reply.
func replyBytes(r rosemarylb.Reply) int64 {
	bytes := int64(len(r.Text) + len(r.Signature))
	for _, row := range r.Rows {
		bytes += int64(len(row))
	}
	return bytes
}
