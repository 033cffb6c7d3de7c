package endpoint

import (
	"time"

	"rosemarylb"
)

func (w *Watcher) want(name rosemarylb.DatabaseName, now time.Time) {
	for _, a := range w.watches {
		if a.spec.Database != name {
			continue
		}
		if a.wantedUntil.Before(now) {
			a.askAt = now
		}
		a.wantedUntil = now.Add(wantedSpan)
	}
}

// decide asks the arbiters and sends what is due.
func (w *Watcher) decide(now time.Time) {
	w.nextAt = now.Add(watchInterval)
	for name, a := range w.kept {
		next, d := a.Decide(now)
		w.kept[name] = next
		for _, c := range d.Commands {
			w.order(c, now)
		}
		if d.Announce {
			w.announce(d.Primary)
			w.observe(Appointed{
				Primary: d.Primary,
			})
		}
		w.wakeAt(d.Next)
	}
	for _, a := range w.watches {
		w.probe(a, now)
		if a.asked != nil {
			w.wakeAt(a.askedAt.Add(answerTimeout))
			continue
		}
		w.wakeAt(a.askAt)
	}
}

func (w *Watcher) wakeAt(at time.Time) {
	if !at.IsZero() && at.Before(w.nextAt) {
		w.nextAt = at
	}
}

// order takes a command of an arbiter; a status never replaces another one.
func (w *Watcher) order(c rosemarylb.Command, now time.Time) {
	a, found := w.watches[c.Endpoint]
	if !found {
		return
	}
	lesser := c.Kind == rosemarylb.CommandStatus || c.Kind == rosemarylb.CommandEvict
	if lesser && a.pending != nil {
		return
	}
	a.pending = &c
	a.askAt = now
}

// probe sends the pending command, or a status when one is due.
func (w *Watcher) probe(a *watch, now time.Time) {
	if a.asked != nil || now.Before(a.askAt) {
		return
	}
	if a.connection == nil {
		a.connection = w.loops.Open(a.spec, "control "+string(w.view.Load().Self.ID), w)
		a.ready = false
		a.askedAt = now
	}
	if !a.ready {
		w.checkOpening(a, now)
		return
	}
	c := a.pending
	if c == nil {
		c = &rosemarylb.Command{
			Kind:     rosemarylb.CommandStatus,
			Endpoint: a.spec.ID,
		}
	}
	a.pending = nil
	a.asked = c
	a.askedAt = now
	a.connection.Send(query(controlText(*c)))
}

func (w *Watcher) checkOpening(a *watch, now time.Time) {
	a.askAt = now.Add(watchInterval)
	if now.Sub(a.askedAt) >= answerTimeout {
		w.lost(a, now)
	}
}

func (w *Watcher) opened(c *Connection, now time.Time) {
	if a, found := w.watches[c.Endpoint]; found && a.connection == c {
		a.ready = true
		a.askAt = now
	}
}

func (w *Watcher) answered(e answered, now time.Time) {
	a, found := w.watches[e.connection.Endpoint]
	if !found || a.connection != e.connection || a.asked == nil {
		return
	}
	c := *a.asked
	askedAt := a.askedAt
	a.asked = nil
	a.askAt = now.Add(watchInterval)
	if a.wantedUntil.After(now) {
		a.askAt = askedAt.Add(wantedInterval)
	}
	state, granted, err := decodeState(a.spec.ID, e.answer.Payload, askedAt)
	if err != nil {
		w.lost(a, now)
		return
	}
	a.state = state
	a.answeredAt = now
	w.tell(a.spec.Database, rosemarylb.ProbeResult{
		Endpoint: a.spec.ID,
		Answered: true,
		Granted:  granted,
		Command:  c,
		State:    state,
	}, now)
	w.observe(Observed{
		State: state,
	})
}

func (w *Watcher) closed(c *Connection, now time.Time) {
	if a, found := w.watches[c.Endpoint]; found && a.connection == c {
		w.lost(a, now)
	}
}

// lost gives up a connection and tells that its endpoint did not answer.
func (w *Watcher) lost(a *watch, now time.Time) {
	c := rosemarylb.Command{
		Kind:     rosemarylb.CommandStatus,
		Endpoint: a.spec.ID,
	}
	if a.asked != nil {
		c = *a.asked
	}
	a.drop()
	a.askAt = now.Add(watchInterval)
	w.tell(a.spec.Database, rosemarylb.ProbeResult{
		Endpoint: a.spec.ID,
		Command:  c,
	}, now)
	w.observe(Silenced{
		Endpoint: a.spec.ID,
	})
}

func (w *Watcher) tell(name rosemarylb.DatabaseName, p rosemarylb.ProbeResult, now time.Time) {
	if a, found := w.kept[name]; found {
		w.kept[name] = a.WithProbe(p, now)
	}
}

func (a *watch) drop() {
	if a.connection != nil {
		a.connection.Close()
	}
	a.connection = nil
	a.ready = false
	a.asked = nil
}
