package endpoint

import (
	"time"

	"rosemarylb"
)

// probeFast probes the endpoints of a database at fastProbeInterval for the next
// fastProbeDuration.
func (w *Watcher) probeFast(name rosemarylb.DatabaseName, now time.Time) {
	for _, cc := range w.controls {
		if cc.spec.Database != name {
			continue
		}
		if cc.fastProbesUntil.Before(now) {
			cc.nextProbeAt = now
		}
		cc.fastProbesUntil = now.Add(fastProbeDuration)
	}
}

// runArbiters applies the decisions of the arbiters, sends the commands and probes
// that are due, and sets the time of the next tick.
func (w *Watcher) runArbiters(now time.Time) {
	w.nextTickAt = now.Add(probeInterval)
	for name, a := range w.arbiters {
		next, d := a.Decide(now)
		w.arbiters[name] = next
		for _, c := range d.Commands {
			w.scheduleCommand(c, now)
		}
		if d.Announce {
			w.announce(d.Primary)
			w.observe(PrimaryChanged{
				Primary: d.Primary,
			})
		}
		w.wakeBy(d.Next)
	}
	for _, cc := range w.controls {
		w.sendDue(cc, now)
		if cc.commandInFlight != nil {
			w.wakeBy(cc.startedAt.Add(probeTimeout))
			continue
		}
		w.wakeBy(cc.nextProbeAt)
	}
}

// wakeBy moves the next tick forward to a time, unless that is zero or later.
func (w *Watcher) wakeBy(at time.Time) {
	if !at.IsZero() && at.Before(w.nextTickAt) {
		w.nextTickAt = at
	}
}

// scheduleCommand makes a command the next one to be sent to its endpoint. A status
// or an eviction does not replace a pending command.
func (w *Watcher) scheduleCommand(c rosemarylb.Command, now time.Time) {
	cc, found := w.controls[c.Endpoint]
	if !found {
		return
	}
	yields := c.Kind == rosemarylb.CommandStatus || c.Kind == rosemarylb.CommandEvict
	if yields && cc.pendingCommand != nil {
		return
	}
	cc.pendingCommand = &c
	cc.nextProbeAt = now
}

// sendDue sends the pending command, or a status when none is pending, once its time
// has come. It opens the control connection first if there is none.
func (w *Watcher) sendDue(cc *controlConnection, now time.Time) {
	if cc.commandInFlight != nil || now.Before(cc.nextProbeAt) {
		return
	}
	if cc.connection == nil {
		cc.connection = w.loops.Open(cc.spec, "control "+string(w.view.Load().Self.ID), w)
		cc.ready = false
		cc.startedAt = now
	}
	if !cc.ready {
		w.checkStartup(cc, now)
		return
	}
	c := cc.pendingCommand
	if c == nil {
		c = &rosemarylb.Command{
			Kind:     rosemarylb.CommandStatus,
			Endpoint: cc.spec.ID,
		}
	}
	cc.pendingCommand = nil
	cc.commandInFlight = c
	cc.startedAt = now
	cc.connection.Send(encodeQuery(commandQuery(*c)))
}

// checkStartup gives up a connection whose start-up has exceeded probeTimeout.
func (w *Watcher) checkStartup(cc *controlConnection, now time.Time) {
	cc.nextProbeAt = now.Add(probeInterval)
	if now.Sub(cc.startedAt) >= probeTimeout {
		w.reportUnreachable(cc, now)
	}
}

func (w *Watcher) markReady(c *Connection, now time.Time) {
	if cc, found := w.controls[c.Endpoint]; found && cc.connection == c {
		cc.ready = true
		cc.nextProbeAt = now
	}
}

func (w *Watcher) handleResponse(e responseReceived, now time.Time) {
	cc, found := w.controls[e.connection.Endpoint]
	if !found || cc.connection != e.connection || cc.commandInFlight == nil {
		return
	}
	c := *cc.commandInFlight
	probedAt := cc.startedAt
	cc.commandInFlight = nil
	cc.nextProbeAt = now.Add(probeInterval)
	if cc.fastProbesUntil.After(now) {
		cc.nextProbeAt = probedAt.Add(fastProbeInterval)
	}
	state, granted, err := decodeState(cc.spec.ID, e.response.Payload, probedAt)
	if err != nil {
		w.reportUnreachable(cc, now)
		return
	}
	cc.state = state
	cc.lastResponseAt = now
	w.reportProbe(cc.spec.Database, rosemarylb.ProbeResult{
		Endpoint: cc.spec.ID,
		Answered: true,
		Granted:  granted,
		Command:  c,
		State:    state,
	}, now)
	w.observe(StateReceived{
		State: state,
	})
}

func (w *Watcher) handleClosed(c *Connection, now time.Time) {
	if cc, found := w.controls[c.Endpoint]; found && cc.connection == c {
		w.reportUnreachable(cc, now)
	}
}

// reportUnreachable closes a control connection, and reports to the arbiter and the
// observer that its endpoint did not answer.
func (w *Watcher) reportUnreachable(cc *controlConnection, now time.Time) {
	c := rosemarylb.Command{
		Kind:     rosemarylb.CommandStatus,
		Endpoint: cc.spec.ID,
	}
	if cc.commandInFlight != nil {
		c = *cc.commandInFlight
	}
	cc.close()
	cc.nextProbeAt = now.Add(probeInterval)
	w.reportProbe(cc.spec.Database, rosemarylb.ProbeResult{
		Endpoint: cc.spec.ID,
		Command:  c,
	}, now)
	w.observe(Unreachable{
		Endpoint: cc.spec.ID,
	})
}

func (w *Watcher) reportProbe(name rosemarylb.DatabaseName, p rosemarylb.ProbeResult, now time.Time) {
	if a, found := w.arbiters[name]; found {
		w.arbiters[name] = a.WithProbe(p, now)
	}
}

func (cc *controlConnection) close() {
	if cc.connection != nil {
		cc.connection.Close()
	}
	cc.connection = nil
	cc.ready = false
	cc.commandInFlight = nil
}
