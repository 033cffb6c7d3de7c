// Package caller serves the callers: it accepts their connections, implements
// the server side of the PostgreSQL protocol and manages their sessions.
package caller

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"regexp"
	"strings"

	"rosemarylb"
	"rosemarylb/internal/traffic/session"

	"github.com/benbjohnson/immutable"
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// headerBytes is the size of a message's type and length, in bytes.
	headerBytes = 5
	// maxMessageBytes bounds the length field of one message, in bytes.
	maxMessageBytes = 8 << 20
	// maxRequestBytes bounds the messages of one extended request up to its
	// Sync, in bytes.
	maxRequestBytes = 16 << 20
	// maxStatements bounds the prepared statements of one session.
	maxStatements = 4096
	// statementHashBytes is the length of the hash in a statement's name, in
	// bytes.
	statementHashBytes = 16
	// placeholderStatement is the statement name in placeholder messages. No
	// statement has it: statementName appends a hash to its prefix.
	placeholderStatement = "rosemarylb-absent"
)

// Types of the messages that callers send.
const (
	typeQuery     = 'Q'
	typeParse     = 'P'
	typeBind      = 'B'
	typeDescribe  = 'D'
	typeExecute   = 'E'
	typeClose     = 'C'
	typeSync      = 'S'
	typeTerminate = 'X'
)

// Types of the replies that restoreReplyTypes exchanges.
const (
	typeParseComplete = '1'
	typeCloseComplete = '3'
)

var (
	errMalformed = errors.New("malformed message")
	errTooLarge  = errors.New("the message is too large")
)

// commandKind says how a command is handled.
type commandKind uint8

const (
	// kindForward is a request for an endpoint.
	kindForward commandKind = iota
	// kindSet changes a setting of the session.
	kindSet
	// kindShow reads a setting of the proxy.
	kindShow
	// kindReset is a DISCARD ALL, DEALLOCATE ALL or RESET ALL, which is
	// acknowledged and changes nothing.
	kindReset
	// kindEmpty is a request without a statement.
	kindEmpty
	// kindReject is a request that is answered with an error.
	kindReject
	// kindTerminate ends the session.
	kindTerminate
)

// command is one decoded request of a caller: a simple query, or all extended
// protocol messages up to a Sync.
type command struct {
	kind commandKind
	// request is set for kindForward.
	request session.DecodedRequest
	// closeCompleteTypes are the reply types that the caller expects, in order,
	// in place of each CloseComplete that the endpoint sends.
	closeCompleteTypes []byte
	// simple is true for a request in the simple query protocol.
	simple bool
	// name and value are those of a setting.
	name  string
	value string
	// sqlState and reason are the error of kindReject.
	sqlState string
	reason   string
	// bytes is what the command counts in the budget until it is answered.
	bytes int64
}

const (
	// commandOverhead is the size of a command, and statementOverhead that of a
	// prepared statement, beside their texts, in bytes.
	commandOverhead   = 512
	statementOverhead = 256
	// payloadCopies is the number of copies of a request's payload: the request and
	// the message for an endpoint or another instance.
	payloadCopies = 2
)

// size returns the number of bytes that are held for the command.
func (c command) size() int64 {
	size := commandOverhead + payloadCopies*len(c.request.Payload)
	for _, text := range c.request.Texts {
		size += len(text)
	}
	return int64(size)
}

// decoder turns a caller's messages into commands and keeps the session's
// prepared statements. Only the event loop of its socket uses it.
type decoder struct {
	// prepared maps the caller's statement names to the statements.
	prepared *immutable.Map[string, rosemarylb.Statement]
	// stateBytes is the size of the prepared statements.
	stateBytes int64

	// The fields below describe the extended request that is being received.
	payload            []byte
	texts              []string
	statements         []rosemarylb.Statement
	closeCompleteTypes []byte
	rejectReason       string
	sqlState           string
}

func newDecoder() *decoder {
	return &decoder{
		prepared: immutable.NewMap[string, rosemarylb.Statement](nil),
	}
}

// nextMessage returns the first message of a buffer, or nil while it is
// incomplete. It fails on a length that is invalid or over maxMessageBytes.
func nextMessage(buffer []byte) ([]byte, error) {
	if len(buffer) < headerBytes {
		return nil, nil
	}
	length := int(binary.BigEndian.Uint32(buffer[1:headerBytes]))
	if length < headerBytes-1 {
		return nil, errors.Wrapf(errMalformed, "length %d", length)
	}
	if length > maxMessageBytes {
		return nil, errors.Wrapf(errTooLarge, "%d bytes", length)
	}
	if len(buffer) < length+1 {
		return nil, nil
	}
	return buffer[:length+1], nil
}

// decode handles one message and reports whether it completes a command. An
// unsupported message rejects the whole request up to its Sync. An error means
// that the connection has to be closed.
func (d *decoder) decode(m []byte) (command, bool, error) {
	body := m[headerBytes:]
	switch m[0] {
	case typeQuery:
		return d.decodeQuery(m)
	case typeParse:
		return command{}, false, d.decodeParse(body)
	case typeBind:
		return command{}, false, d.decodeBind(m)
	case typeDescribe:
		return command{}, false, d.decodeDescribe(m)
	case typeClose:
		return command{}, false, d.decodeClose(m)
	case typeExecute:
		return command{}, false, d.appendPayload(m)
	case typeSync:
		if err := d.appendPayload(m); err != nil {
			return command{}, false, err
		}
		return d.finishRequest(), true, nil
	case typeTerminate:
		return command{
			kind: kindTerminate,
		}, true, nil
	case 'd', 'c', 'f':
		return command{}, false, nil
	default:
		d.reject(sqlStateFeatureNotSupported, "message type "+string(m[:1])+" is not supported")
		return command{}, false, nil
	}
}

func (d *decoder) appendPayload(m []byte) error {
	if len(d.payload)+len(m) > maxRequestBytes {
		return errors.Wrap(errTooLarge, "request")
	}
	d.payload = append(d.payload, m...)
	return nil
}

func (d *decoder) reject(sqlState, reason string) {
	if d.rejectReason == "" {
		d.sqlState = sqlState
		d.rejectReason = reason
	}
}

func (d *decoder) decodeQuery(m []byte) (command, bool, error) {
	var q pgproto3.Query
	if err := q.Decode(m[headerBytes:]); err != nil {
		return command{}, false, errors.Wrap(errMalformed, "query")
	}
	c := parseCommand(q.String)
	c.simple = true
	if c.kind == kindForward {
		c.request = session.DecodedRequest{
			Texts:   []string{q.String},
			Payload: append([]byte(nil), m...),
		}
	}
	return c, true, nil
}

func (d *decoder) decodeParse(body []byte) error {
	var p pgproto3.Parse
	if err := p.Decode(body); err != nil {
		return errors.Wrap(errMalformed, "parse")
	}
	if d.prepared.Len() >= maxStatements {
		d.reject(sqlStateProgramLimitExceeded, "too many prepared statements in the session")
		return nil
	}
	s := rosemarylb.Statement{
		Name:           statementName(p.Query, p.ParameterOIDs),
		Query:          strings.Clone(p.Query),
		ParameterTypes: append([]uint32(nil), p.ParameterOIDs...),
	}
	d.forget(p.Name)
	d.prepared = d.prepared.Set(p.Name, s)
	d.stateBytes += statementBytes(p.Name, s)
	d.requireStatement(s)
	return d.appendPlaceholder(typeParseComplete)
}

// forget removes a prepared statement, if there is one of this name.
func (d *decoder) forget(name string) {
	if s, found := d.prepared.Get(name); found {
		d.stateBytes -= statementBytes(name, s)
		d.prepared = d.prepared.Delete(name)
	}
}

// statementBytes returns the number of bytes that are held for a prepared statement.
func statementBytes(name string, s rosemarylb.Statement) int64 {
	return int64(len(name) + len(s.Query) + statementOverhead)
}

// appendPlaceholder adds a Close of a statement that does not exist, in place of
// a message that the endpoint must not receive. restoreReplyTypes replaces the
// type of its reply by the expected one.
func (d *decoder) appendPlaceholder(expected byte) error {
	d.closeCompleteTypes = append(d.closeCompleteTypes, expected)
	c := pgproto3.Close{
		ObjectType: 'S',
		Name:       placeholderStatement,
	}
	encoded, err := c.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "close")
	}
	return d.appendPayload(encoded)
}

func (d *decoder) requireStatement(s rosemarylb.Statement) {
	for _, known := range d.statements {
		if known.Name == s.Name {
			return
		}
	}
	d.statements = append(d.statements, s)
}

func (d *decoder) decodeBind(m []byte) error {
	var b pgproto3.Bind
	if err := b.Decode(m[headerBytes:]); err != nil {
		return errors.Wrap(errMalformed, "bind")
	}
	s, found := d.prepared.Get(b.PreparedStatement)
	if !found {
		d.reject(sqlStateInvalidStatementName, "prepared statement \""+b.PreparedStatement+"\" does not exist")
		return nil
	}
	d.requireStatement(s)
	d.texts = append(d.texts, s.Query)
	b.PreparedStatement = s.Name
	encoded, err := b.Encode(nil)
	if err != nil {
		return errors.Wrap(errMalformed, "bind")
	}
	return d.appendPayload(encoded)
}

func (d *decoder) decodeDescribe(m []byte) error {
	var e pgproto3.Describe
	if err := e.Decode(m[headerBytes:]); err != nil {
		return errors.Wrap(errMalformed, "describe")
	}
	if e.ObjectType != 'S' {
		return d.appendPayload(m)
	}
	s, found := d.prepared.Get(e.Name)
	if !found {
		d.reject(sqlStateInvalidStatementName, "prepared statement \""+e.Name+"\" does not exist")
		return nil
	}
	d.requireStatement(s)
	e.Name = s.Name
	encoded, err := e.Encode(nil)
	if err != nil {
		return errors.Wrap(errMalformed, "describe")
	}
	return d.appendPayload(encoded)
}

func (d *decoder) decodeClose(m []byte) error {
	var c pgproto3.Close
	if err := c.Decode(m[headerBytes:]); err != nil {
		return errors.Wrap(errMalformed, "close")
	}
	if c.ObjectType == 'S' {
		d.forget(c.Name)
		return d.appendPlaceholder(typeCloseComplete)
	}
	d.closeCompleteTypes = append(d.closeCompleteTypes, typeCloseComplete)
	return d.appendPayload(m)
}

// finishRequest returns the command of the extended request that a Sync ended,
// and resets the decoder for the next one.
func (d *decoder) finishRequest() command {
	c := command{
		kind: kindForward,
		request: session.DecodedRequest{
			Texts:      d.texts,
			Statements: d.statements,
			Payload:    d.payload,
		},
		closeCompleteTypes: d.closeCompleteTypes,
	}
	if d.rejectReason != "" {
		c = command{
			kind:     kindReject,
			sqlState: d.sqlState,
			reason:   d.rejectReason,
		}
	}
	if len(d.texts) == 0 && len(d.statements) == 0 && d.rejectReason == "" {
		c.kind = kindEmpty
		c.simple = false
	}
	for _, text := range d.texts {
		if parsed := parseCommand(text); parsed.kind != kindForward {
			c = command{
				kind:     kindReject,
				sqlState: sqlStateFeatureNotSupported,
				reason:   "send settings of the proxy in the simple query protocol",
			}
		}
	}
	d.payload, d.texts, d.statements, d.closeCompleteTypes = nil, nil, nil, nil
	d.rejectReason, d.sqlState = "", ""
	return c
}

// statementName returns the name that a statement has on all connections of the
// fleet: a hash of its text and parameter types.
func statementName(query string, types []uint32) string {
	h := sha256.New()
	for _, t := range types {
		var number [4]byte
		binary.BigEndian.PutUint32(number[:], t)
		_, _ = h.Write(number[:])
	}
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(query))
	return "rosemarylb-" + hex.EncodeToString(h.Sum(nil)[:statementHashBytes])
}

var (
	// setPattern matches a SET of a session setting, with its name and value.
	setPattern = regexp.MustCompile(
		`(?i)^\s*SET\s+(?:SESSION\s+)?([a-z_.]+)\s*(?:=|\s+TO\s+|\s+)\s*'?([^';]*)'?\s*;?\s*$`)
	showPattern = regexp.MustCompile(`(?i)^\s*SHOW\s+(rosemarylb\.[a-z_]+)\s*;?\s*$`)
	// sessionStatePattern matches statements that keep state on a connection.
	sessionStatePattern = regexp.MustCompile(
		`(?i)^\s*(LISTEN|UNLISTEN|PREPARE|DEALLOCATE|DISCARD|RESET|COPY|DECLARE|SET)\b`)
	// ignoredSettingPattern matches settings that are accepted without effect.
	ignoredSettingPattern = regexp.MustCompile(
		`(?i)^(application_name|client_encoding|client_min_messages|datestyle|extra_float_digits|` +
			`standard_conforming_strings|statement_timeout|timezone)$`)
)
