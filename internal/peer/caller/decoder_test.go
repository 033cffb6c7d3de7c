package caller

import (
	"bytes"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// decodeAll decodes messages and returns the last command that they complete.
func decodeAll(d *decoder, messages ...message) (command, bool) {
	buffer := encode(messages...)
	var last command
	complete := false
	for len(buffer) > 0 {
		m, err := nextMessage(buffer)
		if err != nil || m == nil {
			return last, false
		}
		buffer = buffer[len(m):]
		c, done, err := d.decode(m)
		if err != nil {
			return last, false
		}
		if done {
			last, complete = c, true
		}
	}
	return last, complete
}

func TestPreparedStatementsGetFleetWideNames(t *testing.T) {
	d := newDecoder()
	first, complete := decodeAll(d, &pgproto3.Parse{
		Name:  "a",
		Query: "SELECT 1",
	}, &pgproto3.Sync{})
	if !complete || len(first.request.Statements) != 1 {
		t.Fatalf("got %+v, want one statement", first)
	}
	second, _ := decodeAll(d, &pgproto3.Bind{
		PreparedStatement: "a",
	}, &pgproto3.Execute{}, &pgproto3.Sync{})
	name := first.request.Statements[0].Name
	if got := second.request.Statements[0].Name; got != name {
		t.Errorf("got statement %q, want %q", got, name)
	}
	if !bytes.Contains(second.request.Payload, []byte(name)) {
		t.Error("got a payload without the fleet-wide statement name")
	}
	if got, want := second.request.Texts, "SELECT 1"; len(got) != 1 || got[0] != want {
		t.Errorf("got texts %v, want %q", got, want)
	}
}

func TestRepliesToPlaceholdersGetExpectedTypes(t *testing.T) {
	reply := encode(&pgproto3.CloseComplete{}, &pgproto3.BindComplete{}, &pgproto3.CloseComplete{})
	got := restoreReplyTypes(reply, []byte{typeParseComplete, typeCloseComplete})
	want := encode(&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, &pgproto3.CloseComplete{})
	if !bytes.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestUnsupportedStatementsAreRejectedAndDecodingContinues(t *testing.T) {
	d := newDecoder()
	tests := []struct {
		text string
		want commandKind
	}{
		{"LISTEN news", kindReject},
		{"SET search_path = x", kindReject},
		{"COPY jobs FROM STDIN", kindReject},
		{"PREPARE a AS SELECT 1", kindReject},
		{"SET application_name = 'x'", kindSet},
		{"SET rosemarylb.rank = 'background'", kindSet},
		{"SHOW rosemarylb.floor", kindShow},
		{"DISCARD ALL", kindReset},
		{"SELECT 1", kindForward},
		{" ; ", kindEmpty},
	}
	for _, tt := range tests {
		c, complete := decodeAll(d, &pgproto3.Query{
			String: tt.text,
		})
		if !complete || c.kind != tt.want {
			t.Errorf("%q: got kind %d, want %d", tt.text, c.kind, tt.want)
		}
	}
	c, complete := decodeAll(d, &pgproto3.Bind{
		PreparedStatement: "absent",
	}, &pgproto3.Sync{})
	if !complete || c.kind != kindReject || c.sqlState != sqlStateInvalidStatementName {
		t.Errorf("got %+v, want a rejection with %s", c, sqlStateInvalidStatementName)
	}
}

func TestKeyInsertPrecedesStatementAndDetectsDuplicates(t *testing.T) {
	d := newDecoder()
	c, _ := decodeAll(d, &pgproto3.Query{
		String: "INSERT INTO dues VALUES (1)",
	})
	a, err := withKeyInsert(c, "it's")
	if err != nil {
		t.Fatal(err)
	}
	want := "INSERT INTO rosemarylb_requests (key) VALUES ('it''s'); INSERT INTO dues VALUES (1)"
	if !bytes.Contains(a.Payload, []byte(want)) {
		t.Errorf("got %q, want %q in it", a.Payload, want)
	}
	failed := encode(&pgproto3.ErrorResponse{
		Code:    sqlStateUniqueViolation,
		Message: "UNIQUE constraint failed: rosemarylb_requests.key",
	})
	if _, recorded := stripKeyInsertReply(failed, true); !recorded {
		t.Error("got no duplicate for a unique violation of the key table, want one")
	}
	other := encode(&pgproto3.ErrorResponse{
		Code:    sqlStateUniqueViolation,
		Message: "UNIQUE constraint failed: dues.id",
	})
	if _, recorded := stripKeyInsertReply(other, true); recorded {
		t.Error("got a duplicate for a unique violation of the caller's own table, want none")
	}
}

func TestSequencesIncreaseAcrossRestart(t *testing.T) {
	started := time.Unix(1000, 0)
	// The process receives a million requests in a second, then restarts.
	before := initialSequence(started) + 1000000
	if got := initialSequence(started.Add(time.Second)); got <= before {
		t.Errorf("got initial sequence %d, want one above %d", got, before)
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add(encode(&pgproto3.Query{
		String: "SELECT 1",
	}))
	f.Add(encode(&pgproto3.Parse{
		Name:  "a",
		Query: "SELECT $1",
	}, &pgproto3.Bind{
		PreparedStatement: "a",
	}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	f.Fuzz(func(_ *testing.T, buffer []byte) {
		d := newDecoder()
		for len(buffer) > 0 {
			m, err := nextMessage(buffer)
			if err != nil || m == nil {
				return
			}
			buffer = buffer[len(m):]
			if _, _, err := d.decode(m); err != nil {
				return
			}
		}
	})
}
