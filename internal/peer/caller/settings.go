package caller

import (
	"strconv"
	"strings"
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/session"
)

// The settings of a session.
const (
	settingRank      = "rosemarylb.rank"
	settingStaleness = "rosemarylb.staleness"
	settingLatest    = "rosemarylb.latest"
	settingFloor     = floorParameter
	settingKey       = "rosemarylb.idempotency_key"
)

func (e *Edge) status(c *client) byte {
	if c.session.TransactionAborted() {
		return 'E'
	}
	if c.session.InTransaction() {
		return 'T'
	}
	return 'I'
}

// local answers a command that no endpoint needs to see.
func (e *Edge) local(c *client, k command) {
	status := e.status(c)
	switch k.kind {
	case kindSet:
		e.set(c, k, status)
	case kindShow:
		e.show(c, k, status)
	case kindReset:
		write(c.socket, completed(k.name, status))
	case kindEmpty:
		e.empty(c, k, status)
	default:
		write(c.socket, encode(errorResponse(k.sqlState, k.reason), ready(status)))
	}
}

func (e *Edge) empty(c *client, k command, status byte) {
	if k.simple {
		write(c.socket, append(emptyAnswer(), encode(ready(status))...))
		return
	}
	write(c.socket, append(closeAnswers(k.completes), encode(ready(status))...))
}

// withinAborted answers a statement after the transaction was lost: only its
// end is taken.
func (e *Edge) withinAborted(c *client, k command) {
	for _, text := range k.ask.Texts {
		class := session.Classify(text, true)
		if class == rosemarylb.ClassCommit || class == rosemarylb.ClassRollback {
			c.session = c.session.WithTransactionEnded()
			write(c.socket, abortedEnd(k))
			return
		}
	}
	write(c.socket, encode(errorResponse(stateAborted,
		"not run: the transaction was rolled back, end it first"), ready('E')))
}

func (e *Edge) set(c *client, k command, status byte) {
	s, reason := apply(c.session, k.name, k.value, e.view.Load().ServiceConfig)
	if reason != "" {
		write(c.socket, encode(errorResponse(stateBadValue, k.name+": "+reason), ready(status)))
		return
	}
	c.session = s
	write(c.socket, completed("SET", status))
}

// apply returns the session with a setting, or why the value is refused.
// Settings that no one has to keep are accepted as they are.
func apply(s session.Session, name, value string, v rosemarylb.ServiceConfig) (session.Session, string) {
	spec := s.Caller()
	switch name {
	case settingRank:
		rank, err := rosemarylb.ParseRank(value)
		if err != nil {
			return s, err.Error()
		}
		if rank < v.Caller(spec.Name).Rank {
			return s, "the configured rank of " + spec.Name + " is lower"
		}
		spec.Rank = rank
	case settingStaleness:
		span, err := time.ParseDuration(value)
		if err != nil || span < 0 {
			return s, "an age such as 5s or 0s is wanted"
		}
		spec.StalenessMillis = span.Milliseconds()
	case settingLatest:
		spec.Linearizable = value == "on" || value == "true"
	case settingFloor:
		p, err := rosemarylb.ParsePosition(value)
		if err != nil {
			return s, err.Error()
		}
		return s.WithFloor(p), ""
	case settingKey:
		return s.WithIdempotencyKey(value), ""
	default:
		if strings.HasPrefix(name, "rosemarylb.") {
			return s, "there is no such setting"
		}
	}
	return s.WithCaller(spec), ""
}

func (e *Edge) show(c *client, k command, status byte) {
	spec := c.session.Caller()
	value := ""
	switch k.name {
	case settingRank:
		value = spec.Rank.String()
	case settingStaleness:
		value = (time.Duration(spec.StalenessMillis) * time.Millisecond).String()
	case settingLatest:
		value = strconv.FormatBool(spec.Linearizable)
	case settingFloor:
		if floor := c.session.Floor(); floor.Known {
			value = floor.Position.String()
		}
	case "rosemarylb.endpoint":
		value = c.served
	case "rosemarylb.instance":
		value = string(e.self)
	case "rosemarylb.revision":
		value = strconv.FormatUint(e.view.Load().ServiceConfig.Revision, 10)
	default:
		write(c.socket, encode(errorResponse(stateBadValue, k.name+": there is no such setting"), ready(status)))
		return
	}
	write(c.socket, showRow(k.name, value, status))
}

// partSpan is the time between the message to a caller and the end of its
// connection.
const partSpan = 300 * time.Millisecond

// drain ends the sessions that are idle, and all of them at the deadline.
func (e *Edge) drain(now time.Time) {
	for _, c := range e.clients {
		_, active := c.session.RequestInFlight()
		busy := active || len(c.waiting) > 0 || c.session.InTransaction()
		if !busy || now.After(e.drainBy) {
			e.farewell(c)
		}
	}
}

// farewell tells a caller that the instance shuts down, and hangs up a little
// later: a request that crosses the message is not run, and the message is its
// answer. It does so only between two requests, unless the deadline has passed.
func (e *Edge) farewell(c *client) {
	if c.session.InTransaction() && time.Now().Before(e.drainBy) {
		return
	}
	if c.partAt.IsZero() {
		write(c.socket, encode(fatalResponse(stateShutdown, "not run: the instance shuts down; connect again")))
		c.partAt = time.Now().Add(partSpan)
		return
	}
	if time.Now().After(c.partAt) {
		_ = c.socket.conn.Close()
	}
}
