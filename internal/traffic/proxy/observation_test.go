package proxy

import (
	"testing"
	"time"

	"rosemarylb"
)

func (b *bench) observationOfGroup() Observation {
	return b.p.observation(b.p.groups["g"], b.now)
}

func TestAFailureOfAnEarlierTermIsNotHeldAgainstAPrimary(t *testing.T) {
	b := newBench(t)
	b.ask(1, rosemarylb.QueryWrite)
	b.reply(b.take(), rosemarylb.ReplyReadOnly, none, position(1, 10))
	if b.observationOfGroup().FailingAt.IsZero() {
		t.Error("got no failure of a primary that refused a write, want one")
	}
	b.permit("e2", 2, time.Second)
	b.permit("e1", 3, time.Second)
	if got := b.observationOfGroup(); !got.FailingAt.IsZero() {
		t.Errorf("got a failure of e1 since %s in its next term, want none", got.FailingAt)
	}
}

func TestAFailureThatNothingFollowsIsForgotten(t *testing.T) {
	b := newBench(t)
	b.ask(1, rosemarylb.QueryWrite)
	b.lose(b.take())
	if b.observationOfGroup().FailingAt.IsZero() {
		t.Error("got no failure of a primary whose connection broke, want one")
	}
	for range 5 {
		b.permit("e1", 1, time.Second)
		b.pass(500 * time.Millisecond)
	}
	if got := b.observationOfGroup(); !got.FailingAt.IsZero() {
		t.Errorf("got a failure since %s of a primary that nothing was asked since, want none", got.FailingAt)
	}
}

func TestAPrimaryThatRefusedAWriteIsUsedOnceItLeadsAgain(t *testing.T) {
	b := newBench(t)
	b.ask(1, rosemarylb.QueryWrite)
	b.reply(b.take(), rosemarylb.ReplyReadOnly, none, position(1, 10))
	b.pass(60 * time.Millisecond)
	if len(b.sent) != 0 {
		t.Errorf("got %v sent to a primary that refused a write, want nothing until the keeper has asked it", b.sent)
	}
	b.permit("e1", 1, time.Second)
	b.pass(10 * time.Millisecond)
	b.reply(b.take(), rosemarylb.ReplyDone, none, position(1, 11))
	b.wantAnswer(1, rosemarylb.ReplyDone, none)
}
