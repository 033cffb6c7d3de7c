package proxy

import (
	"strings"
	"testing"
	"time"

	"rosemarylb"
)

// While the keeper is lost, the replies of all sessions waited for a permit, whatever
// their size.
func TestHeldRepliesAreBounded(t *testing.T) {
	row := strings.Repeat("x", maxHeldReplyBytes/2-10)
	h := newHarness(t)
	var queries []sent
	for id := rosemarylb.SessionID(11); id <= 13; id++ {
		h.join(id, "primary")
		h.ask(id, rosemarylb.QueryRead)
		queries = append(queries, h.nextSent())
	}
	h.advance(510 * time.Millisecond)
	for _, s := range queries {
		h.handle(ReplyReceived{
			Connection: s.id,
			Reply: rosemarylb.Reply{
				Rows:     []string{row},
				Position: position(1, 11),
			},
		})
	}
	h.wantNoAnswer(11)
	h.wantNoAnswer(12)
	h.wantAnswer(13, rosemarylb.ReplyAborted, none)
	h.permit("e1", 1, time.Second)
	h.wantAnswer(11, rosemarylb.ReplyDone, none)
	h.wantAnswer(12, rosemarylb.ReplyDone, none)
}
