package caller

import (
	"strconv"
	"strings"
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/session"
)

// Settings that a session can change.
const (
	settingRank      = "rosemarylb.rank"
	settingStaleness = "rosemarylb.staleness"
	settingLatest    = "rosemarylb.latest"
	settingFloor     = floorParameter
	settingKey       = "rosemarylb.idempotency_key"
)

// transactionStatus returns the status that ReadyForQuery reports.
func (sm *SessionManager) transactionStatus(c *client) byte {
	if c.session.TransactionAborted() {
		return 'E'
	}
	if c.session.InTransaction() {
		return 'T'
	}
	return 'I'
}

// replyLocally replies to a command that is not forwarded.
func (sm *SessionManager) replyLocally(c *client, cmd command) {
	status := sm.transactionStatus(c)
	switch cmd.kind {
	case kindSet:
		sm.replyToSet(c, cmd, status)
	case kindShow:
		sm.replyToShow(c, cmd, status)
	case kindReset:
		write(c.socket, commandComplete(cmd.name, status))
	case kindEmpty:
		sm.replyToEmpty(c, cmd, status)
	default:
		write(c.socket, encode(errorResponse(cmd.sqlState, cmd.reason), readyForQuery(status)))
	}
}

func (sm *SessionManager) replyToEmpty(c *client, cmd command, status byte) {
	if cmd.simple {
		write(c.socket, append(emptyQueryReply(), encode(readyForQuery(status))...))
		return
	}
	write(c.socket, append(closeCompletes(cmd.closeCompleteTypes), encode(readyForQuery(status))...))
}

// replyInAborted replies to a request in a transaction that has lost its
// connection. Only a statement that ends the transaction is accepted.
func (sm *SessionManager) replyInAborted(c *client, cmd command) {
	for _, text := range cmd.request.Texts {
		class := session.Classify(text, true)
		if class == rosemarylb.ClassCommit || class == rosemarylb.ClassRollback {
			c.session = c.session.WithTransactionEnded()
			write(c.socket, rollbackReply(cmd))
			return
		}
	}
	write(c.socket, encode(errorResponse(sqlStateInFailedTransaction,
		"not run: the transaction was rolled back, end it first"), readyForQuery('E')))
}

func (sm *SessionManager) replyToSet(c *client, cmd command, status byte) {
	s, reason := withSetting(c.session, cmd.name, cmd.value, sm.view.Load().ServiceConfig)
	if reason != "" {
		write(c.socket, encode(errorResponse(sqlStateInvalidParameterValue, cmd.name+": "+reason), readyForQuery(status)))
		return
	}
	c.session = s
	write(c.socket, commandComplete("SET", status))
}

// withSetting returns the session with a setting changed, or the reason why the
// value is rejected. It accepts other settings than the proxy's without effect.
func withSetting(s session.Session, name, value string, config rosemarylb.ServiceConfig) (session.Session, string) {
	spec := s.Caller()
	switch name {
	case settingRank:
		rank, err := rosemarylb.ParseRank(value)
		if err != nil {
			return s, err.Error()
		}
		if rank < config.Caller(spec.Name).Rank {
			return s, "the configured rank of " + spec.Name + " is lower"
		}
		spec.Rank = rank
	case settingStaleness:
		staleness, err := time.ParseDuration(value)
		if err != nil || staleness < 0 {
			return s, "an age such as 5s or 0s is wanted"
		}
		spec.StalenessMillis = staleness.Milliseconds()
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

func (sm *SessionManager) replyToShow(c *client, cmd command, status byte) {
	spec := c.session.Caller()
	value := ""
	switch cmd.name {
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
		value = c.servedBy
	case "rosemarylb.instance":
		value = string(sm.self)
	case "rosemarylb.revision":
		value = strconv.FormatUint(sm.view.Load().ServiceConfig.Revision, 10)
	default:
		write(c.socket, encode(errorResponse(sqlStateInvalidParameterValue, cmd.name+": there is no such setting"), readyForQuery(status)))
		return
	}
	write(c.socket, showReply(cmd.name, value, status))
}

// disconnectDelay is the time between the notice of shutdown to a caller and the
// close of its connection.
const disconnectDelay = 300 * time.Millisecond

// drainSessions disconnects the idle sessions, and after the drain deadline all of
// them.
func (sm *SessionManager) drainSessions(now time.Time) {
	for _, c := range sm.clients {
		_, active := c.session.RequestInFlight()
		busy := active || len(c.pipelined) > 0 || c.session.InTransaction()
		if !busy || now.After(sm.drainDeadline) {
			sm.disconnect(c)
		}
	}
}

// disconnect sends a caller the notice of shutdown and, on a later call, closes its
// connection after disconnectDelay. A request that crosses the notice on the wire
// is not run, and the notice is the reply to it. An open transaction postpones the
// notice until the drain deadline.
func (sm *SessionManager) disconnect(c *client) {
	if c.session.InTransaction() && time.Now().Before(sm.drainDeadline) {
		return
	}
	if c.closeAt.IsZero() {
		write(c.socket, encode(fatalResponse(sqlStateAdminShutdown, "not run: the instance shuts down; connect again")))
		c.closeAt = time.Now().Add(disconnectDelay)
		return
	}
	if time.Now().After(c.closeAt) {
		c.socket.conn.Close()
	}
}
