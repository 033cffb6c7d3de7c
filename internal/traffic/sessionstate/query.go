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
func (d Session) WithQuery(q rosemarylb.Query) (Session, Action) {
	switch d.transactionState {
	case rosemarylb.TransactionFailed:
		return d.handleInFailedTransaction(q)
	case rosemarylb.TransactionOpen:
		return d.handleInTransaction(q)
	default:
		return d.handleOutsideTransaction(q)
	}
}

// handleInFailedTransaction accepts only a commit or rollback, both of which
// roll back, and rejects every other query.
func (d Session) handleInFailedTransaction(q rosemarylb.Query) (Session, Action) {
	switch q.Kind {
	case rosemarylb.QueryRollback:
		return d.WithTransactionState(rosemarylb.TransactionNone).succeed(true)
	case rosemarylb.QueryCommit:
		d = d.WithTransactionState(rosemarylb.TransactionNone)
		return d, d.reject(rosemarylb.ReplyAborted, "the transaction had failed and is rolled back", true)
	default:
		return d, d.reject(rosemarylb.ReplyMalformed, "the transaction has failed", false)
	}
}

func (d Session) handleInTransaction(q rosemarylb.Query) (Session, Action) {
	switch q.Kind {
	case rosemarylb.QueryRollback:
		return d.WithTransactionState(rosemarylb.TransactionNone).succeed(true)
	case rosemarylb.QueryCommit:
		return d, forward(q)
	case rosemarylb.QueryBegin, rosemarylb.QueryBeginRead, rosemarylb.QueryInvalid:
		return d.fail(rosemarylb.ReplyMalformed, "not allowed within a transaction")
	default:
		return d.handleInAnyState(q)
	}
}

func (d Session) handleOutsideTransaction(q rosemarylb.Query) (Session, Action) {
	switch q.Kind {
	case rosemarylb.QueryBegin, rosemarylb.QueryBeginRead:
		d = d.WithTransactionState(rosemarylb.TransactionOpen)
		d.readOnly = q.Kind == rosemarylb.QueryBeginRead
		return d.succeed(false)
	case rosemarylb.QueryRollback, rosemarylb.QueryCommit:
		return d, d.reject(rosemarylb.ReplyMalformed, "no transaction is open", false)
	default:
		return d.handleInAnyState(q)
	}
}

// handleInAnyState handles the queries that behave the same inside and outside
// a transaction.
func (d Session) handleInAnyState(q rosemarylb.Query) (Session, Action) {
	switch q.Kind {
	case rosemarylb.QuerySet:
		return d.withSetting(q.Name, q.Value).succeed(false)
	case rosemarylb.QueryReset:
		d.settings, d.preparedStatements, d.settingsKey = nil, nil, ""
		return d.succeed(false)
	case rosemarylb.QueryPrepare:
		return d.withPreparedStatement(q.Name, PreparedStatement{
			ServerName: ServerName(q.Value, q.Writes),
			Text:       q.Value,
			Writes:     q.Writes,
		}).succeed(false)
	case rosemarylb.QueryDeallocate:
		if _, found := d.preparedStatements[q.Name]; !found {
			return d.fail(rosemarylb.ReplyNoStatement, q.Name)
		}
		return d.withoutPreparedStatement(q.Name).succeed(false)
	case rosemarylb.QueryExecute:
		statement, found := d.preparedStatements[q.Name]
		if !found {
			return d.fail(rosemarylb.ReplyNoStatement, q.Name)
		}
		return d, forward(q.WithName(statement.ServerName).WithStatement(statement.Text, statement.Writes))
	case rosemarylb.QueryRead, rosemarylb.QueryWrite:
		return d, forward(q)
	default:
		return d.fail(rosemarylb.ReplyMalformed, "the query is not understood")
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
func (d Session) succeed(release bool) (Session, Action) {
	reply := rosemarylb.NewReply(rosemarylb.ReplyDone, "").WithState(d.transactionState)
	reply.Signature = noSignature
	return d, Action{
		Reply:             reply,
		ReleaseConnection: release,
	}
}

// fail rejects a query. An open transaction changes to the failed state and
// releases its connection.
func (d Session) fail(code rosemarylb.ReplyCode, text string) (Session, Action) {
	if d.transactionState != rosemarylb.TransactionOpen {
		return d, d.reject(code, text, false)
	}
	d = d.WithTransactionState(rosemarylb.TransactionFailed)
	return d, d.reject(code, text, true)
}

// reject returns an error reply in the current transaction state.
func (d Session) reject(code rosemarylb.ReplyCode, text string, release bool) Action {
	return Action{
		Reply:             rosemarylb.NewReply(code, text).WithState(d.transactionState),
		ReleaseConnection: release,
	}
}
