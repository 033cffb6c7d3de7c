package sessionstate

import (
	"testing"

	"rosemarylb"
)

func newQuery(kind rosemarylb.QueryKind, name, value string) rosemarylb.Query {
	return rosemarylb.Query{
		ID:     "q1",
		Kind:   kind,
		Name:   name,
		Value:  value,
		Writes: kind == rosemarylb.QueryWrite,
	}
}

func TestQueriesByTransactionState(t *testing.T) {
	begin := newQuery(rosemarylb.QueryBegin, "", "")
	unknownStatement := newQuery(rosemarylb.QueryExecute, "unknown", "")
	tests := []struct {
		name   string
		before []rosemarylb.Query
		query  rosemarylb.Query
		run    bool
		code   rosemarylb.ReplyCode
		state  rosemarylb.TransactionState
	}{
		{"read outside a transaction", nil, newQuery(rosemarylb.QueryRead, "", ""), true, 0, rosemarylb.TransactionNone},
		{"begin", nil, begin, false, rosemarylb.ReplyDone, rosemarylb.TransactionOpen},
		{"begin in an open transaction", []rosemarylb.Query{begin}, begin, false, rosemarylb.ReplyMalformed, rosemarylb.TransactionFailed},
		{"commit outside a transaction", nil, newQuery(rosemarylb.QueryCommit, "", ""), false, rosemarylb.ReplyMalformed, rosemarylb.TransactionNone},
		{"commit of an empty transaction", []rosemarylb.Query{begin}, newQuery(rosemarylb.QueryCommit, "", ""), true, 0, rosemarylb.TransactionOpen},
		{"rollback", []rosemarylb.Query{begin}, newQuery(rosemarylb.QueryRollback, "", ""), false, rosemarylb.ReplyDone, rosemarylb.TransactionNone},
		{"unknown statement outside a transaction", nil, unknownStatement, false, rosemarylb.ReplyNoStatement, rosemarylb.TransactionNone},
		{"unknown statement in an open transaction", []rosemarylb.Query{begin}, unknownStatement, false, rosemarylb.ReplyNoStatement, rosemarylb.TransactionFailed},
		{"read in a failed transaction", []rosemarylb.Query{begin, unknownStatement}, newQuery(rosemarylb.QueryRead, "", ""), false, rosemarylb.ReplyMalformed, rosemarylb.TransactionFailed},
		{"commit of a failed transaction", []rosemarylb.Query{begin, unknownStatement}, newQuery(rosemarylb.QueryCommit, "", ""), false, rosemarylb.ReplyAborted, rosemarylb.TransactionNone},
		{"unrecognized query", nil, rosemarylb.Query{}, false, rosemarylb.ReplyMalformed, rosemarylb.TransactionNone},
		{"set", nil, newQuery(rosemarylb.QuerySet, "n", "v"), false, rosemarylb.ReplyDone, rosemarylb.TransactionNone},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			s := NewSession(1, "db")
			for _, q := range c.before {
				s, _ = s.WithQuery(q)
			}
			s, action := s.WithQuery(c.query)
			if action.Forward != c.run {
				t.Errorf("got forward %v, want %v", action.Forward, c.run)
			}
			if !c.run && action.Reply.Code != c.code {
				t.Errorf("got %s, want %s", action.Reply.Code, c.code)
			}
			if s.TransactionState() != c.state {
				t.Errorf("got %s, want %s", s.TransactionState(), c.state)
			}
		})
	}
}

func TestServerNameDependsOnStatementText(t *testing.T) {
	a, b := NewSession(1, "db"), NewSession(2, "db")
	a, _ = a.WithQuery(newQuery(rosemarylb.QueryPrepare, "s1", "q1").WithStatement("q1", true))
	b, _ = b.WithQuery(newQuery(rosemarylb.QueryPrepare, "s1", "q2").WithStatement("q2", true))
	_, first := a.WithQuery(newQuery(rosemarylb.QueryExecute, "s1", ""))
	_, second := b.WithQuery(newQuery(rosemarylb.QueryExecute, "s1", ""))
	if first.Query.Name == second.Query.Name {
		t.Errorf("got %s for both texts, want different names", first.Query.Name)
	}
	if !first.Query.Writes {
		t.Error("got a read, want the prepared write")
	}
	if ServerName("q1", true) == ServerName("q1", false) {
		t.Error("got the same name for a read and a write, want different names")
	}
}

func TestWithSettingDoesNotChangeReceiver(t *testing.T) {
	before := NewSession(1, "db")
	after, _ := before.WithQuery(newQuery(rosemarylb.QuerySet, "n", "v"))
	if before.SettingsKey() == after.SettingsKey() {
		t.Errorf("got key %q before and after a setting changed", after.SettingsKey())
	}
	if len(before.Settings()) != 0 {
		t.Errorf("got %v, want no settings", before.Settings())
	}
}
