package caller

import (
	"bytes"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

func feed(d *decoder, messages ...encodable) (command, bool) {
	buffer := encode(messages...)
	var last command
	complete := false
	for len(buffer) > 0 {
		m, err := frame(buffer)
		if err != nil || m == nil {
			return last, false
		}
		buffer = buffer[len(m):]
		c, done, err := d.take(m)
		if err != nil {
			return last, false
		}
		if done {
			last, complete = c, true
		}
	}
	return last, complete
}

func TestNamedStatementsAreRenamedForTheFleet(t *testing.T) {
	d := newDecoder()
	first, complete := feed(d, &pgproto3.Parse{
		Name:  "a",
		Query: "SELECT 1",
	}, &pgproto3.Sync{})
	if !complete || len(first.ask.Statements) != 1 {
		t.Fatalf("got %+v, want one statement", first)
	}
	second, _ := feed(d, &pgproto3.Bind{
		PreparedStatement: "a",
	}, &pgproto3.Execute{}, &pgproto3.Sync{})
	name := first.ask.Statements[0].Name
	if got := second.ask.Statements[0].Name; got != name {
		t.Errorf("got statement %q, want %q", got, name)
	}
	if !bytes.Contains(second.ask.Payload, []byte(name)) {
		t.Error("got a payload without the fleet's name, want it there")
	}
	if got, want := second.ask.Texts, "SELECT 1"; len(got) != 1 || got[0] != want {
		t.Errorf("got texts %v, want %q", got, want)
	}
}

func TestAnswersToStandInsAreRestored(t *testing.T) {
	answer := encode(&pgproto3.CloseComplete{}, &pgproto3.BindComplete{}, &pgproto3.CloseComplete{})
	got := restore(answer, []byte{answerParse, answerClose})
	want := encode(&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, &pgproto3.CloseComplete{})
	if !bytes.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestWhatIsNotSupportedIsRefusedAndTheSessionGoesOn(t *testing.T) {
	d := newDecoder()
	tests := []struct {
		text string
		want kind
	}{
		{"LISTEN news", kindRefused},
		{"SET search_path = x", kindRefused},
		{"COPY jobs FROM STDIN", kindRefused},
		{"PREPARE a AS SELECT 1", kindRefused},
		{"SET application_name = 'x'", kindSet},
		{"SET rosemarylb.rank = 'background'", kindSet},
		{"SHOW rosemarylb.floor", kindShow},
		{"DISCARD ALL", kindReset},
		{"SELECT 1", kindRun},
		{" ; ", kindEmpty},
	}
	for _, tt := range tests {
		c, complete := feed(d, &pgproto3.Query{
			String: tt.text,
		})
		if !complete || c.kind != tt.want {
			t.Errorf("%q: got kind %d, want %d", tt.text, c.kind, tt.want)
		}
	}
	c, complete := feed(d, &pgproto3.Bind{
		PreparedStatement: "absent",
	}, &pgproto3.Sync{})
	if !complete || c.kind != kindRefused || c.sqlState != stateNoStatement {
		t.Errorf("got %+v, want a refusal with %s", c, stateNoStatement)
	}
}

func TestKeysAreRecordedWithTheirEffect(t *testing.T) {
	d := newDecoder()
	c, _ := feed(d, &pgproto3.Query{
		String: "INSERT INTO dues VALUES (1)",
	})
	a, err := withKey(c, "it's")
	if err != nil {
		t.Fatal(err)
	}
	want := "INSERT INTO rosemarylb_requests (key) VALUES ('it''s'); INSERT INTO dues VALUES (1)"
	if !bytes.Contains(a.Payload, []byte(want)) {
		t.Errorf("got %q, want %q in it", a.Payload, want)
	}
	failed := encode(&pgproto3.ErrorResponse{
		Code:    stateUnique,
		Message: "UNIQUE constraint failed: rosemarylb_requests.key",
	})
	if _, recorded := stripKey(failed, true); !recorded {
		t.Error("got a key taken for new, want it recorded")
	}
	other := encode(&pgproto3.ErrorResponse{
		Code:    stateUnique,
		Message: "UNIQUE constraint failed: dues.id",
	})
	if _, recorded := stripKey(other, true); recorded {
		t.Error("got a failure of the caller's own taken for a recorded key")
	}
}

func TestNumbersRiseOverARestart(t *testing.T) {
	started := time.Unix(1000, 0)
	// A process that takes a million requests in a second is restarted.
	before := firstNumber(started) + 1000000
	if got := firstNumber(started.Add(time.Second)); got <= before {
		t.Errorf("got first number %d, want one above %d", got, before)
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
			m, err := frame(buffer)
			if err != nil || m == nil {
				return
			}
			buffer = buffer[len(m):]
			if _, _, err := d.take(m); err != nil {
				return
			}
		}
	})
}
