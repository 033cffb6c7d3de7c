package caller

import (
	"strings"

	"rosemarylb/internal/traffic/session"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// keyTable records the idempotency keys of committed requests. Operators
// create it in each database.
const keyTable = "rosemarylb_requests"

// stateUnique is the SQLSTATE of a key that is recorded already.
const stateUnique = "23505"

var errSeveral = errors.New("a request with an idempotency key is one statement")

// withKey returns the request that records its key in the same transaction
// as its effect: the record goes first, within one implicit transaction.
func withKey(c command, key string) (session.DecodedRequest, error) {
	insert := "INSERT INTO " + keyTable + " (key) VALUES ('" + strings.ReplaceAll(key, "'", "''") + "')"
	if c.simple {
		return session.DecodedRequest{
			Texts: c.ask.Texts,
			Payload: encode(&pgproto3.Query{
				String: insert + "; " + c.ask.Texts[0],
			}),
		}, nil
	}
	if len(c.ask.Texts) != 1 {
		return session.DecodedRequest{}, errSeveral
	}
	a := c.ask
	a.Payload = append(encode(
		&pgproto3.Parse{
			Query: insert,
		},
		&pgproto3.Bind{},
		&pgproto3.Execute{},
	), a.Payload...)
	return a, nil
}

// keyAnswers are the answers to the record of a key, before the caller's own.
func keyAnswers(simple bool) string {
	if simple {
		return "C"
	}
	return "12C"
}

// stripKey removes the answers to the record of a key. It reports true when
// the key had been recorded before, so that the request has run.
func stripKey(payload []byte, simple bool) ([]byte, bool) {
	for _, expected := range []byte(keyAnswers(simple)) {
		m, err := frame(payload)
		if err != nil || m == nil {
			return payload, false
		}
		if m[0] == 'E' {
			return payload, isRecorded(m)
		}
		if m[0] != expected {
			return payload, false
		}
		payload = payload[len(m):]
	}
	return payload, false
}

func isRecorded(m []byte) bool {
	var e pgproto3.ErrorResponse
	if e.Decode(m[headerSize:]) != nil {
		return false
	}
	return e.Code == stateUnique && strings.Contains(e.Message+e.TableName+e.ConstraintName, keyTable)
}

// settled encodes the answer to a request that had run before under its key.
func settled(c command, status byte) []byte {
	verb, _, _ := strings.Cut(strings.TrimSpace(c.ask.Texts[0]), " ")
	done := &pgproto3.CommandComplete{
		CommandTag: []byte(strings.ToUpper(verb)),
	}
	notice := &pgproto3.NoticeResponse{
		Severity: "NOTICE",
		Code:     "00000",
		Message:  "the request had run before under its idempotency key",
	}
	if c.simple {
		return encode(notice, done, ready(status))
	}
	return append(append(encode(notice), extendedPrefix(c)...), encode(done, ready(status))...)
}

// extendedPrefix holds the answers to the messages before the execution.
func extendedPrefix(c command) []byte {
	var prefix []byte
	for _, expected := range c.completes {
		if expected == answerParse {
			prefix = append(prefix, encode(&pgproto3.ParseComplete{})...)
		}
	}
	prefix = append(prefix, encode(&pgproto3.BindComplete{})...)
	return append(prefix, encode(&pgproto3.NoData{})...)
}
