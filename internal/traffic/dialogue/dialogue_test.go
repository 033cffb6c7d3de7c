package dialogue

import (
	"testing"

	"rosemarylb"
)

func query(kind rosemarylb.QueryKind, name, value string) rosemarylb.Query {
	return rosemarylb.Query{
		ID:     "q1",
		Kind:   kind,
		Name:   name,
		Value:  value,
		Writes: kind == rosemarylb.QueryWrite,
	}
}

func TestQueriesByTransactionState(t *testing.T) {
	begin := query(rosemarylb.QueryBegin, "", "")
	failing := query(rosemarylb.QueryExecute, "unknown", "")
	tests := []struct {
		name   string
		before []rosemarylb.Query
		query  rosemarylb.Query
		run    bool
		code   rosemarylb.ReplyCode
		state  rosemarylb.TransactionState
	}{
		{"a read outside", nil, query(rosemarylb.QueryRead, "", ""), true, 0, rosemarylb.TransactionNone},
		{"begin", nil, begin, false, rosemarylb.ReplyDone, rosemarylb.TransactionOpen},
		{"begin twice", []rosemarylb.Query{begin}, begin, false, rosemarylb.ReplyMalformed, rosemarylb.TransactionFailed},
		{"commit outside", nil, query(rosemarylb.QueryCommit, "", ""), false, rosemarylb.ReplyMalformed, rosemarylb.TransactionNone},
		{"commit of nothing", []rosemarylb.Query{begin}, query(rosemarylb.QueryCommit, "", ""), true, 0, rosemarylb.TransactionOpen},
		{"rollback", []rosemarylb.Query{begin}, query(rosemarylb.QueryRollback, "", ""), false, rosemarylb.ReplyDone, rosemarylb.TransactionNone},
		{"unknown name outside", nil, failing, false, rosemarylb.ReplyNoStatement, rosemarylb.TransactionNone},
		{"unknown name within", []rosemarylb.Query{begin}, failing, false, rosemarylb.ReplyNoStatement, rosemarylb.TransactionFailed},
		{"a read in a failed one", []rosemarylb.Query{begin, failing}, query(rosemarylb.QueryRead, "", ""), false, rosemarylb.ReplyMalformed, rosemarylb.TransactionFailed},
		{"commit of a failed one", []rosemarylb.Query{begin, failing}, query(rosemarylb.QueryCommit, "", ""), false, rosemarylb.ReplyAborted, rosemarylb.TransactionNone},
		{"what is not understood", nil, rosemarylb.Query{}, false, rosemarylb.ReplyMalformed, rosemarylb.TransactionNone},
		{"a value", nil, query(rosemarylb.QuerySet, "n", "v"), false, rosemarylb.ReplyDone, rosemarylb.TransactionNone},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			d := NewDialogue(1, "db")
			for _, q := range c.before {
				d, _ = d.WithQuery(q)
			}
			d, v := d.WithQuery(c.query)
			if v.Run != c.run {
				t.Errorf("got run %v, want %v", v.Run, c.run)
			}
			if !c.run && v.Reply.Code != c.code {
				t.Errorf("got %s, want %s", v.Reply.Code, c.code)
			}
			if d.State() != c.state {
				t.Errorf("got %s, want %s", d.State(), c.state)
			}
		})
	}
}

func TestPreparedNamesAreRenamedByShape(t *testing.T) {
	a, b := NewDialogue(1, "db"), NewDialogue(2, "db")
	a, _ = a.WithQuery(query(rosemarylb.QueryPrepare, "s1", "q1").WithShape("q1", true))
	b, _ = b.WithQuery(query(rosemarylb.QueryPrepare, "s1", "q2").WithShape("q2", true))
	_, first := a.WithQuery(query(rosemarylb.QueryExecute, "s1", ""))
	_, second := b.WithQuery(query(rosemarylb.QueryExecute, "s1", ""))
	if first.Query.Name == second.Query.Name {
		t.Errorf("got %s for both shapes, want names that differ", first.Query.Name)
	}
	if !first.Query.Writes {
		t.Error("got a read, want the write that was prepared")
	}
	if Alias("q1", true) == Alias("q1", false) {
		t.Error("got one name for a read and a write, want two")
	}
}

func TestValuesLeaveTheirReceiverAsItWas(t *testing.T) {
	before := NewDialogue(1, "db")
	after, _ := before.WithQuery(query(rosemarylb.QuerySet, "n", "v"))
	if before.Key() == after.Key() {
		t.Errorf("got key %q before and after a value was set", after.Key())
	}
	if len(before.Values()) != 0 {
		t.Errorf("got %v, want no values", before.Values())
	}
}
