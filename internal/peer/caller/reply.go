package caller

import (
	"rosemarylb"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATEs of the errors that the proxy itself reports.
const (
	sqlStateInsufficientResources = "53000"
	sqlStateCannotConnectNow      = "57P03"
	sqlStateAdminShutdown         = "57P01"
	sqlStateQueryCanceled         = "57014"
	sqlStateTransactionRollback   = "40000"
	sqlStateInFailedTransaction   = "25P02"
	sqlStateResolutionUnknown     = "08007"
	sqlStateProtocolViolation     = "08P01"
	sqlStateFeatureNotSupported   = "0A000"
	sqlStateProgramLimitExceeded  = "54000"
	sqlStateInvalidStatementName  = "26000"
	sqlStateInvalidParameterValue = "22023"
	sqlStateInvalidCatalogName    = "3D000"
)

// floorParameter is the parameter that reports the session's floor, the least
// position that its reads have to see. The caller can set it in a session on
// another instance.
const floorParameter = "rosemarylb.floor"

// message is a protocol message that can be encoded.
type message interface {
	Encode(dst []byte) ([]byte, error)
}

// encode returns the concatenated encoding of messages.
func encode(messages ...message) []byte {
	var encoded []byte
	for _, m := range messages {
		var err error
		encoded, err = m.Encode(encoded)
		if err != nil {
			panic(errors.Wrap(err, "a message of our own does not encode"))
		}
	}
	return encoded
}

func errorResponse(sqlState, text string) message {
	return &pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                sqlState,
		Message:             text,
	}
}

// fatalResponse returns an error after which the connection is closed.
func fatalResponse(sqlState, text string) message {
	return &pgproto3.ErrorResponse{
		Severity:            "FATAL",
		SeverityUnlocalized: "FATAL",
		Code:                sqlState,
		Message:             text,
	}
}

func readyForQuery(status byte) message {
	return &pgproto3.ReadyForQuery{
		TxStatus: status,
	}
}

// startupReply encodes the messages that complete the start-up of a session, with
// the process identifier and the secret of its cancel key.
func startupReply(process, secret uint32) []byte {
	return encode(
		&pgproto3.AuthenticationOk{},
		parameterStatus("server_version", "16.0 (rosemarylb)"),
		parameterStatus("server_encoding", "UTF8"),
		parameterStatus("client_encoding", "UTF8"),
		parameterStatus("standard_conforming_strings", "on"),
		parameterStatus("DateStyle", "ISO, MDY"),
		parameterStatus("integer_datetimes", "on"),
		&pgproto3.BackendKeyData{
			ProcessID: process,
			SecretKey: encodeSecret(secret),
		},
		readyForQuery('I'),
	)
}

func encodeSecret(secret uint32) []byte {
	return []byte{byte(secret >> 24), byte(secret >> 16), byte(secret >> 8), byte(secret)}
}

func decodeSecret(key []byte) uint32 {
	if len(key) < 4 {
		return 0
	}
	return uint32(key[0])<<24 | uint32(key[1])<<16 | uint32(key[2])<<8 | uint32(key[3])
}

func parameterStatus(name, value string) message {
	return &pgproto3.ParameterStatus{
		Name:  name,
		Value: value,
	}
}

// outcomeError encodes the error for a request that was not run or whose outcome
// is unknown.
func outcomeError(o rosemarylb.Outcome, status byte) []byte {
	if o.Kind == rosemarylb.OutcomeUnknown {
		return encode(errorResponse(sqlStateResolutionUnknown, "outcome unknown: "+o.Reason.String()), readyForQuery(status))
	}
	return encode(errorResponse(sqlStateFor(o.Reason), "not run: "+o.Reason.String()), readyForQuery(status))
}

// sqlStateFor returns the SQLSTATE for a request that was not run.
func sqlStateFor(r rosemarylb.Reason) string {
	switch r {
	case rosemarylb.ReasonOverload, rosemarylb.ReasonDeadline:
		return sqlStateInsufficientResources
	case rosemarylb.ReasonCanceled:
		return sqlStateQueryCanceled
	case rosemarylb.ReasonPinnedConnectionLost:
		return sqlStateTransactionRollback
	case rosemarylb.ReasonShuttingDown:
		return sqlStateAdminShutdown
	case rosemarylb.ReasonTooLarge:
		return sqlStateProgramLimitExceeded
	default:
		return sqlStateCannotConnectNow
	}
}

// showReply encodes the reply to a SHOW.
func showReply(name, value string, status byte) []byte {
	return encode(
		&pgproto3.RowDescription{
			Fields: []pgproto3.FieldDescription{{
				Name:         []byte(name),
				DataTypeOID:  25,
				DataTypeSize: -1,
				TypeModifier: -1,
			}},
		},
		&pgproto3.DataRow{
			Values: [][]byte{[]byte(value)},
		},
		&pgproto3.CommandComplete{
			CommandTag: []byte("SHOW"),
		},
		readyForQuery(status),
	)
}

func commandComplete(tag string, status byte) []byte {
	return encode(&pgproto3.CommandComplete{
		CommandTag: []byte(tag),
	}, readyForQuery(status))
}

// restoreReplyTypes changes the type of each CloseComplete in a reply to the next
// of the given types, which the caller expects there: some of them answer
// placeholder messages. It changes the payload in place.
func restoreReplyTypes(payload, types []byte) []byte {
	next := 0
	for at := 0; at < len(payload) && next < len(types); {
		m, err := nextMessage(payload[at:])
		if err != nil || m == nil {
			return payload
		}
		if m[0] == typeCloseComplete {
			payload[at] = types[next]
			next++
		}
		at += len(m)
	}
	return payload
}

func emptyQueryReply() []byte {
	return encode(&pgproto3.EmptyQueryResponse{})
}

func closeCompletes(types []byte) []byte {
	var encoded []byte
	for range types {
		encoded = append(encoded, encode(&pgproto3.CloseComplete{})...)
	}
	return encoded
}

// rollbackReply encodes the reply to the statement that ends a transaction which
// has lost its connection.
func rollbackReply(cmd command) []byte {
	done := commandComplete("ROLLBACK", 'I')
	if cmd.simple {
		return done
	}
	return append(extendedReplyPrefix(cmd), done...)
}
