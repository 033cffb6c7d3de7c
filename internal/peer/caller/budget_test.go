package caller

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// TestPreparedStatementsAreCounted guards against a session that keeps statements which
// the budget does not see, or counts those that it has closed.
func TestPreparedStatementsAreCounted(t *testing.T) {
	parse := func(name, query string) pgproto3.FrontendMessage {
		return &pgproto3.Parse{
			Name:  name,
			Query: query,
		}
	}
	closeStatement := &pgproto3.Close{
		ObjectType: 'S',
		Name:       "a",
	}
	tests := []struct {
		name     string
		messages []pgproto3.FrontendMessage
		want     int64
	}{
		{"one", []pgproto3.FrontendMessage{parse("a", "SELECT 1")}, 9 + statementOverhead},
		{"replaced", []pgproto3.FrontendMessage{parse("a", "SELECT 1"), parse("a", "SELECT 22")}, 10 + statementOverhead},
		{"two", []pgproto3.FrontendMessage{parse("a", "SELECT 1"), parse("b", "SELECT 1")}, 2 * (9 + statementOverhead)},
		{"closed", []pgproto3.FrontendMessage{parse("a", "SELECT 1"), closeStatement, closeStatement}, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			d := newDecoder()
			for _, m := range c.messages {
				encoded, err := m.Encode(nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, _, err := d.decode(encoded); err != nil {
					t.Fatal(err)
				}
			}
			if d.stateBytes != c.want {
				t.Errorf("got %d bytes, want %d", d.stateBytes, c.want)
			}
		})
	}
}

// TestSocketKeepsUnfinishedInput guards against bytes that are lost or kept twice where
// the pieces of a message meet.
func TestSocketKeepsUnfinishedInput(t *testing.T) {
	s := &socket{}
	s.keep([]byte("ab"), true)
	s.append([]byte("cd"))
	s.keep(s.buffer, true)
	if got, want := string(s.buffer), "abcd"; got != want {
		t.Errorf("got %q kept of an unfinished message, want %q", got, want)
	}
	s.append([]byte("ef"))
	s.keep(s.buffer[5:], false)
	if got, want := string(s.buffer), "f"; got != want {
		t.Errorf("got %q kept after a message, want %q", got, want)
	}
	s.append(make([]byte, 2*keptBufferBytes))
	s.keep(nil, false)
	if got := s.heldBytes(); got != 0 {
		t.Errorf("got %d bytes held after a large message, want 0", got)
	}
}
