package caller

import (
	"rosemarylb"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATEs of the proxy's own answers.
const (
	stateResources   = "53000"
	stateUnavailable = "57P03"
	stateShutdown    = "57P01"
	stateCanceled    = "57014"
	stateRolledBack  = "40000"
	stateAborted     = "25P02"
	stateUnknown     = "08007"
	stateProtocol    = "08P01"
	stateUnsupported = "0A000"
	stateTooLarge    = "54000"
	stateNoStatement = "26000"
	stateBadValue    = "22023"
	stateNoDatabase  = "3D000"
)

// floorParameter carries the session's floor, so that the caller can bring it
// to another instance.
const floorParameter = "rosemarylb.floor"

// encodable is a message of the protocol.
type encodable interface {
	Encode(dst []byte) ([]byte, error)
}

// encode returns messages in their encoding, one after the other.
func encode(messages ...encodable) []byte {
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

func errorResponse(state, message string) encodable {
	return &pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                state,
		Message:             message,
	}
}

// fatalResponse is an error after which the connection ends.
func fatalResponse(state, message string) encodable {
	return &pgproto3.ErrorResponse{
		Severity:            "FATAL",
		SeverityUnlocalized: "FATAL",
		Code:                state,
		Message:             message,
	}
}

func ready(status byte) encodable {
	return &pgproto3.ReadyForQuery{
		TxStatus: status,
	}
}

// welcome ends the start-up of a session.
func welcome(process, secret uint32) []byte {
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
			SecretKey: secretBytes(secret),
		},
		ready('I'),
	)
}

func secretBytes(secret uint32) []byte {
	return []byte{byte(secret >> 24), byte(secret >> 16), byte(secret >> 8), byte(secret)}
}

func secretNumber(key []byte) uint32 {
	if len(key) < 4 {
		return 0
	}
	return uint32(key[0])<<24 | uint32(key[1])<<16 | uint32(key[2])<<8 | uint32(key[3])
}

func parameterStatus(name, value string) encodable {
	return &pgproto3.ParameterStatus{
		Name:  name,
		Value: value,
	}
}

// failure encodes an outcome that is not an endpoint's answer.
func failure(o rosemarylb.Outcome, status byte) []byte {
	if o.Kind == rosemarylb.OutcomeUnknown {
		return encode(errorResponse(stateUnknown, "outcome unknown: "+o.Reason.String()), ready(status))
	}
	return encode(errorResponse(notRunState(o.Reason), "not run: "+o.Reason.String()), ready(status))
}

// notRunState is the SQLSTATE of a request that had no effect.
func notRunState(r rosemarylb.Reason) string {
	switch r {
	case rosemarylb.ReasonOverload, rosemarylb.ReasonDeadline:
		return stateResources
	case rosemarylb.ReasonCanceled:
		return stateCanceled
	case rosemarylb.ReasonLeaseLost:
		return stateRolledBack
	case rosemarylb.ReasonShuttingDown:
		return stateShutdown
	case rosemarylb.ReasonTooLarge:
		return stateTooLarge
	default:
		return stateUnavailable
	}
}

// showRow encodes the answer to SHOW.
func showRow(name, value string, status byte) []byte {
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
		ready(status),
	)
}

func completed(tag string, status byte) []byte {
	return encode(&pgproto3.CommandComplete{
		CommandTag: []byte(tag),
	}, ready(status))
}

// restore turns the answers to stand-in messages back into what the caller
// expects.
func restore(payload, completes []byte) []byte {
	next := 0
	for at := 0; at < len(payload) && next < len(completes); {
		m, err := frame(payload[at:])
		if err != nil || m == nil {
			return payload
		}
		if m[0] == answerClose {
			payload[at] = completes[next]
			next++
		}
		at += len(m)
	}
	return payload
}

func emptyAnswer() []byte {
	return encode(&pgproto3.EmptyQueryResponse{})
}

func closeAnswers(completes []byte) []byte {
	var encoded []byte
	for range completes {
		encoded = append(encoded, encode(&pgproto3.CloseComplete{})...)
	}
	return encoded
}

// abortedEnd encodes the answer to the end of a transaction that was lost.
func abortedEnd(c command) []byte {
	done := completed("ROLLBACK", 'I')
	if c.simple {
		return done
	}
	return append(extendedPrefix(c), done...)
}
