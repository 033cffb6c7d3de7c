package caller

import (
	"strings"

	"rosemarylb/internal/traffic/session"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// idempotencyKeyTable is the table of the idempotency keys of committed requests.
// Operators create it in each database.
const idempotencyKeyTable = "rosemarylb_requests"

// sqlStateUniqueViolation is the endpoint's error for a key that is already in
// the table.
const sqlStateUniqueViolation = "23505"

var errMultipleStatements = errors.New("a request with an idempotency key is one statement")

// withKeyInsert returns the request of a command, preceded by the insert of its
// idempotency key. Both run in one implicit transaction, so that the key is
// stored exactly when the request takes effect. It fails on an extended request
// with several statements.
func withKeyInsert(cmd command, key string) (session.DecodedRequest, error) {
	insert := "INSERT INTO " + idempotencyKeyTable + " (key) VALUES ('" + strings.ReplaceAll(key, "'", "''") + "')"
	if cmd.simple {
		return session.DecodedRequest{
			Texts: cmd.request.Texts,
			Payload: encode(&pgproto3.Query{
				String: insert + "; " + cmd.request.Texts[0],
			}),
		}, nil
	}
	if len(cmd.request.Texts) != 1 {
		return session.DecodedRequest{}, errMultipleStatements
	}
	request := cmd.request
	request.Payload = append(encode(
		&pgproto3.Parse{
			Query: insert,
		},
		&pgproto3.Bind{},
		&pgproto3.Execute{},
	), request.Payload...)
	return request, nil
}

// keyInsertReplyTypes returns the types of the replies to the insert of a key,
// which precede those to the caller's request.
func keyInsertReplyTypes(simple bool) string {
	if simple {
		return "C"
	}
	return "12C"
}

// stripKeyInsertReply removes the replies to the insert of a key. It reports
// whether the key was in the table already, which means that the request has run
// before.
func stripKeyInsertReply(payload []byte, simple bool) ([]byte, bool) {
	for _, expected := range []byte(keyInsertReplyTypes(simple)) {
		m, err := nextMessage(payload)
		if err != nil || m == nil {
			return payload, false
		}
		if m[0] == 'E' {
			return payload, isDuplicateKey(m)
		}
		if m[0] != expected {
			return payload, false
		}
		payload = payload[len(m):]
	}
	return payload, false
}

// isDuplicateKey reports whether an error is a unique violation of the key table,
// as opposed to one of the caller's own statement.
func isDuplicateKey(m []byte) bool {
	var e pgproto3.ErrorResponse
	if e.Decode(m[headerBytes:]) != nil {
		return false
	}
	return e.Code == sqlStateUniqueViolation && strings.Contains(e.Message+e.TableName+e.ConstraintName, idempotencyKeyTable)
}

// duplicateReply encodes the reply to a request that has run before under its
// idempotency key.
func duplicateReply(cmd command, status byte) []byte {
	verb, _, _ := strings.Cut(strings.TrimSpace(cmd.request.Texts[0]), " ")
	done := &pgproto3.CommandComplete{
		CommandTag: []byte(strings.ToUpper(verb)),
	}
	notice := &pgproto3.NoticeResponse{
		Severity: "NOTICE",
		Code:     "00000",
		Message:  "the request had run before under its idempotency key",
	}
	if cmd.simple {
		return encode(notice, done, readyForQuery(status))
	}
	return append(append(encode(notice), extendedReplyPrefix(cmd)...), encode(done, readyForQuery(status))...)
}

// extendedReplyPrefix encodes the replies to the messages that precede Execute
// in an extended request.
func extendedReplyPrefix(cmd command) []byte {
	var prefix []byte
	for _, expected := range cmd.closeCompleteTypes {
		if expected == typeParseComplete {
			prefix = append(prefix, encode(&pgproto3.ParseComplete{})...)
		}
	}
	prefix = append(prefix, encode(&pgproto3.BindComplete{})...)
	return append(prefix, encode(&pgproto3.NoData{})...)
}
