package sessionstate

import "rosemarylb"

// noSignature is the signature of a reply that the proxy gives itself.
const noSignature = "-"

// Action is what the proxy has to do for a query.
type Action struct {
	// Forward is true when an endpoint has to run Query; otherwise Reply answers
	// the caller.
	Forward bool
	// Query is the query to run. A prepared statement has its server-side name.
	Query rosemarylb.Query
	// Reply is the proxy's own reply, set when Forward is false.
	Reply rosemarylb.Reply
	// ReleaseConnection is true when the connection pinned to the transaction is no
	// longer needed.
	ReleaseConnection bool
}

// WithQuery returns the session after a query from its caller, and the action
// to take for the query.
func (s Session) WithQuery(q rosemarylb.Query) (Session, Action) {
	switch s.transactionState {
	case rosemarylb.TransactionFailed:
		return s.handleInFailedTransaction(q)
	case rosemarylb.TransactionOpen:
		return s.handleInTransaction(q)
	default:
		return s.handleOutsideTransaction(q)
	}
}

// handleInFailedTransaction accepts only a commit or rollback, both of which
// roll back, and rejects every other query.
func (s Session) handleInFailedTransaction(q rosemarylb.Query) (Session, Action) {
	switch q.Kind {
	case rosemarylb.QueryRollback:
		return s.WithTransactionState(rosemarylb.TransactionNone).succeed(true)
	case rosemarylb.QueryCommit:
		s = s.WithTransactionState(rosemarylb.TransactionNone)
		return s, s.reject(rosemarylb.ReplyAborted, "the transaction had failed and is rolled back", true)
	default:
		return s, s.reject(rosemarylb.ReplyMalformed, "the transaction has failed", false)
	}
}

func (s Session) handleInTransaction(q rosemarylb.Query) (Session, Action) {
	switch q.Kind {
	case rosemarylb.QueryRollback:
		return s.WithTransactionState(rosemarylb.TransactionNone).succeed(true)
	case rosemarylb.QueryCommit:
		return s, forward(q)
	case rosemarylb.QueryBegin, rosemarylb.QueryBeginRead, rosemarylb.QueryInvalid:
		return s.fail(rosemarylb.ReplyMalformed, "not allowed within a transaction")
	default:
		return s.handleInAnyState(q)
	}
}

func (s Session) handleOutsideTransaction(q rosemarylb.Query) (Session, Action) {
	switch q.Kind {
	case rosemarylb.QueryBegin, rosemarylb.QueryBeginRead:
		s = s.WithTransactionState(rosemarylb.TransactionOpen)
		s.readOnly = q.Kind == rosemarylb.QueryBeginRead
		return s.succeed(false)
	case rosemarylb.QueryRollback, rosemarylb.QueryCommit:
		return s, s.reject(rosemarylb.ReplyMalformed, "no transaction is open", false)
	default:
		return s.handleInAnyState(q)
	}
}

// handleInAnyState handles the queries that behave the same inside and outside
// a transaction.
func (s Session) handleInAnyState(q rosemarylb.Query) (Session, Action) {
	switch q.Kind {
	case rosemarylb.QuerySet:
		return s.withSetting(q.Name, q.Value).succeed(false)
	case rosemarylb.QueryReset:
		s.settings, s.preparedStatements, s.settingsKey = nil, nil, ""
		return s.succeed(false)
	case rosemarylb.QueryPrepare:
		return s.withPreparedStatement(q.Name, PreparedStatement{
			ServerName: ServerName(q.Value, q.Writes),
			Text:       q.Value,
			Writes:     q.Writes,
		}).succeed(false)
	case rosemarylb.QueryDeallocate:
		if _, found := s.preparedStatements[q.Name]; !found {
			return s.fail(rosemarylb.ReplyNoStatement, q.Name)
		}
		return s.withoutPreparedStatement(q.Name).succeed(false)
	case rosemarylb.QueryExecute:
		statement, found := s.preparedStatements[q.Name]
		if !found {
			return s.fail(rosemarylb.ReplyNoStatement, q.Name)
		}
		return s, forward(q.WithName(statement.ServerName).WithStatement(statement.Text, statement.Writes))
	case rosemarylb.QueryRead, rosemarylb.QueryWrite:
		return s, forward(q)
	default:
		return s.fail(rosemarylb.ReplyMalformed, "the query is not understood")
	}
}

func forward(q rosemarylb.Query) Action {
	return Action{
		Forward: true,
		Query:   q,
	}
}

// succeed returns a successful reply of the proxy in the current transaction
// state.
func (s Session) succeed(release bool) (Session, Action) {
	reply := rosemarylb.NewReply(rosemarylb.ReplyDone, "").WithState(s.transactionState)
	reply.Signature = noSignature
	return s, Action{
		Reply:             reply,
		ReleaseConnection: release,
	}
}

// fail rejects a query. An open transaction changes to the failed state and
// releases its connection.
func (s Session) fail(code rosemarylb.ReplyCode, text string) (Session, Action) {
	if s.transactionState != rosemarylb.TransactionOpen {
		return s, s.reject(code, text, false)
	}
	s = s.WithTransactionState(rosemarylb.TransactionFailed)
	return s, s.reject(code, text, true)
}

// reject returns an error reply in the current transaction state.
func (s Session) reject(code rosemarylb.ReplyCode, text string, release bool) Action {
	return Action{
		Reply:             rosemarylb.NewReply(code, text).WithState(s.transactionState),
		ReleaseConnection: release,
	}
}
