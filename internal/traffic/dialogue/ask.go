package dialogue

import "rosemarylb"

// signatureNone marks an answer that no endpoint gave.
const signatureNone = "-"

// Verdict is what a session makes of a query.
type Verdict struct {
	// Run is true when an endpoint has to run Query, else Reply answers it.
	Run bool
	// Query is the query with its prepared name resolved.
	Query rosemarylb.Query
	// Reply is the answer of the proxy itself.
	Reply rosemarylb.Reply
	// Release is true when the transaction's connection is no longer needed.
	Release bool
}

// WithQuery returns the session that was asked a query, and what to do.
func (d Dialogue) WithQuery(q rosemarylb.Query) (Dialogue, Verdict) {
	switch d.state {
	case rosemarylb.TransactionFailed:
		return d.askedFailed(q)
	case rosemarylb.TransactionOpen:
		return d.askedOpen(q)
	default:
		return d.askedOutside(q)
	}
}

// askedFailed allows only the end of a failed transaction.
func (d Dialogue) askedFailed(q rosemarylb.Query) (Dialogue, Verdict) {
	switch q.Kind {
	case rosemarylb.QueryRollback:
		return d.WithState(rosemarylb.TransactionNone).done(true)
	case rosemarylb.QueryCommit:
		d = d.WithState(rosemarylb.TransactionNone)
		return d, d.refuse(rosemarylb.ReplyAborted, "the transaction had failed and is rolled back", true)
	default:
		return d, d.refuse(rosemarylb.ReplyMalformed, "the transaction has failed", false)
	}
}

func (d Dialogue) askedOpen(q rosemarylb.Query) (Dialogue, Verdict) {
	switch q.Kind {
	case rosemarylb.QueryRollback:
		return d.WithState(rosemarylb.TransactionNone).done(true)
	case rosemarylb.QueryCommit:
		return d, run(q)
	case rosemarylb.QueryBegin, rosemarylb.QueryBeginRead, rosemarylb.QueryInvalid:
		return d.fail(rosemarylb.ReplyMalformed, "not allowed within a transaction")
	default:
		return d.askedAnywhere(q)
	}
}

func (d Dialogue) askedOutside(q rosemarylb.Query) (Dialogue, Verdict) {
	switch q.Kind {
	case rosemarylb.QueryBegin, rosemarylb.QueryBeginRead:
		d = d.WithState(rosemarylb.TransactionOpen)
		d.readOnly = q.Kind == rosemarylb.QueryBeginRead
		return d.done(false)
	case rosemarylb.QueryRollback, rosemarylb.QueryCommit:
		return d, d.refuse(rosemarylb.ReplyMalformed, "no transaction is open", false)
	default:
		return d.askedAnywhere(q)
	}
}

func (d Dialogue) askedAnywhere(q rosemarylb.Query) (Dialogue, Verdict) {
	switch q.Kind {
	case rosemarylb.QuerySet:
		return d.withValue(q.Name, q.Value).done(false)
	case rosemarylb.QueryReset:
		d.values, d.prepared, d.key = nil, nil, ""
		return d.done(false)
	case rosemarylb.QueryPrepare:
		return d.withPrepared(q.Name, Prepared{
			Alias:  Alias(q.Value, q.Writes),
			Shape:  q.Value,
			Writes: q.Writes,
		}).done(false)
	case rosemarylb.QueryDeallocate:
		if _, found := d.prepared[q.Name]; !found {
			return d.fail(rosemarylb.ReplyNoStatement, q.Name)
		}
		return d.withoutPrepared(q.Name).done(false)
	case rosemarylb.QueryExecute:
		p, found := d.prepared[q.Name]
		if !found {
			return d.fail(rosemarylb.ReplyNoStatement, q.Name)
		}
		return d, run(q.WithName(p.Alias).WithShape(p.Shape, p.Writes))
	case rosemarylb.QueryRead, rosemarylb.QueryWrite:
		return d, run(q)
	default:
		return d.fail(rosemarylb.ReplyMalformed, "the query is not understood")
	}
}

func run(q rosemarylb.Query) Verdict {
	return Verdict{
		Run:   true,
		Query: q,
	}
}

func (d Dialogue) done(release bool) (Dialogue, Verdict) {
	r := rosemarylb.NewReply(rosemarylb.ReplyDone, "").WithState(d.state)
	r.Signature = signatureNone
	return d, Verdict{
		Reply:   r,
		Release: release,
	}
}

// fail refuses a query; within a transaction it fails the transaction.
func (d Dialogue) fail(code rosemarylb.ReplyCode, text string) (Dialogue, Verdict) {
	if d.state != rosemarylb.TransactionOpen {
		return d, d.refuse(code, text, false)
	}
	d = d.WithState(rosemarylb.TransactionFailed)
	return d, d.refuse(code, text, true)
}

func (d Dialogue) refuse(code rosemarylb.ReplyCode, text string, release bool) Verdict {
	return Verdict{
		Reply:   rosemarylb.NewReply(code, text).WithState(d.state),
		Release: release,
	}
}
