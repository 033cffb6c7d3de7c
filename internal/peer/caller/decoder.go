// Package caller talks to the callers over the PostgreSQL protocol and keeps
// their sessions.
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
	// headerSize is the size of a message's type and length, in bytes.
	headerSize = 5
	// messageLimit is the size of the largest message accepted, in bytes.
	messageLimit = 8 << 20
	// batchLimit is the size of the largest request accepted, in bytes.
	batchLimit = 16 << 20
	// statementLimit is how many prepared statements one session may keep.
	statementLimit = 4096
	// digestSize is how much of a hash names a statement, in bytes.
	digestSize = 16
	// absentStatement is a name that no statement ever has.
	absentStatement = "rosemarylb-absent"
)

// Message types that the decoder looks into.
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

// Answer types that stand for each other in a rewritten answer.
const (
	answerParse = '1'
	answerClose = '3'
)

var (
	errMalformed = errors.New("malformed message")
	errTooLarge  = errors.New("the message is too large")
)

// kind says what a caller asks for.
type kind uint8

const (
	kindRun kind = iota
	kindSet
	kindShow
	kindReset
	kindEmpty
	kindRefused
	kindBye
)

// command is one whole request of a caller.
type command struct {
	kind kind
	ask  session.DecodedRequest
	// completes are the answer types that the caller expects where the
	// rewritten request yields the answer to a Close.
	completes []byte
	// simple is true for the simple query protocol.
	simple bool
	// name and value belong to settings.
	name  string
	value string
	// sqlState and reason say why a request is refused.
	sqlState string
	reason   string
}

// decoder turns a caller's messages into commands. It belongs to the event
// loop of its socket.
type decoder struct {
	named     *immutable.Map[string, rosemarylb.Statement]
	payload   []byte
	texts     []string
	needs     []rosemarylb.Statement
	completes []byte
	refused   string
	sqlState  string
}

func newDecoder() *decoder {
	return &decoder{
		named: immutable.NewMap[string, rosemarylb.Statement](nil),
	}
}

// frame returns the first whole message of a buffer, nil if there is none.
func frame(buffer []byte) ([]byte, error) {
	if len(buffer) < headerSize {
		return nil, nil
	}
	length := int(binary.BigEndian.Uint32(buffer[1:headerSize]))
	if length < headerSize-1 {
		return nil, errors.Wrapf(errMalformed, "length %d", length)
	}
	if length > messageLimit {
		return nil, errors.Wrapf(errTooLarge, "%d bytes", length)
	}
	if len(buffer) < length+1 {
		return nil, nil
	}
	return buffer[:length+1], nil
}

// take handles one message and returns a command when it completes one. A
// message that is not understood refuses the whole request up to its Sync.
func (d *decoder) take(m []byte) (command, bool, error) {
	body := m[headerSize:]
	switch m[0] {
	case typeQuery:
		return d.query(m)
	case typeParse:
		return command{}, false, d.parse(body)
	case typeBind:
		return command{}, false, d.bind(m)
	case typeDescribe:
		return command{}, false, d.describe(m)
	case typeClose:
		return command{}, false, d.closeObject(m)
	case typeExecute:
		return command{}, false, d.keep(m)
	case typeSync:
		if err := d.keep(m); err != nil {
			return command{}, false, err
		}
		return d.finish(), true, nil
	case typeTerminate:
		return command{
			kind: kindBye,
		}, true, nil
	case 'd', 'c', 'f':
		return command{}, false, nil
	default:
		d.refuse(stateUnsupported, "message type "+string(m[:1])+" is not supported")
		return command{}, false, nil
	}
}

func (d *decoder) keep(m []byte) error {
	if len(d.payload)+len(m) > batchLimit {
		return errors.Wrap(errTooLarge, "request")
	}
	d.payload = append(d.payload, m...)
	return nil
}

func (d *decoder) refuse(state, reason string) {
	if d.refused == "" {
		d.sqlState = state
		d.refused = reason
	}
}

func (d *decoder) query(m []byte) (command, bool, error) {
	var q pgproto3.Query
	if err := q.Decode(m[headerSize:]); err != nil {
		return command{}, false, errors.Wrap(errMalformed, "query")
	}
	c := local(q.String)
	c.simple = true
	if c.kind == kindRun {
		c.ask = session.DecodedRequest{
			Texts:   []string{q.String},
			Payload: append([]byte(nil), m...),
		}
	}
	return c, true, nil
}

func (d *decoder) parse(body []byte) error {
	var p pgproto3.Parse
	if err := p.Decode(body); err != nil {
		return errors.Wrap(errMalformed, "parse")
	}
	if d.named.Len() >= statementLimit {
		d.refuse(stateTooLarge, "too many prepared statements in the session")
		return nil
	}
	s := rosemarylb.Statement{
		Name:           statementName(p.Query, p.ParameterOIDs),
		Query:          strings.Clone(p.Query),
		ParameterTypes: append([]uint32(nil), p.ParameterOIDs...),
	}
	d.named = d.named.Set(p.Name, s)
	d.need(s)
	return d.standIn(answerParse)
}

// standIn puts the close of an absent statement where the endpoint is not to
// see the caller's own message; its answer is turned back into the expected.
func (d *decoder) standIn(expected byte) error {
	d.completes = append(d.completes, expected)
	c := pgproto3.Close{
		ObjectType: 'S',
		Name:       absentStatement,
	}
	encoded, err := c.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "close")
	}
	return d.keep(encoded)
}

func (d *decoder) need(s rosemarylb.Statement) {
	for _, known := range d.needs {
		if known.Name == s.Name {
			return
		}
	}
	d.needs = append(d.needs, s)
}

func (d *decoder) bind(m []byte) error {
	var b pgproto3.Bind
	if err := b.Decode(m[headerSize:]); err != nil {
		return errors.Wrap(errMalformed, "bind")
	}
	s, found := d.named.Get(b.PreparedStatement)
	if !found {
		d.refuse(stateNoStatement, "prepared statement \""+b.PreparedStatement+"\" does not exist")
		return nil
	}
	d.need(s)
	d.texts = append(d.texts, s.Query)
	b.PreparedStatement = s.Name
	encoded, err := b.Encode(nil)
	if err != nil {
		return errors.Wrap(errMalformed, "bind")
	}
	return d.keep(encoded)
}

func (d *decoder) describe(m []byte) error {
	var e pgproto3.Describe
	if err := e.Decode(m[headerSize:]); err != nil {
		return errors.Wrap(errMalformed, "describe")
	}
	if e.ObjectType != 'S' {
		return d.keep(m)
	}
	s, found := d.named.Get(e.Name)
	if !found {
		d.refuse(stateNoStatement, "prepared statement \""+e.Name+"\" does not exist")
		return nil
	}
	d.need(s)
	e.Name = s.Name
	encoded, err := e.Encode(nil)
	if err != nil {
		return errors.Wrap(errMalformed, "describe")
	}
	return d.keep(encoded)
}

func (d *decoder) closeObject(m []byte) error {
	var c pgproto3.Close
	if err := c.Decode(m[headerSize:]); err != nil {
		return errors.Wrap(errMalformed, "close")
	}
	if c.ObjectType == 'S' {
		d.named = d.named.Delete(c.Name)
		return d.standIn(answerClose)
	}
	d.completes = append(d.completes, answerClose)
	return d.keep(m)
}

// finish returns the command of an extended request and starts the next one.
func (d *decoder) finish() command {
	c := command{
		kind: kindRun,
		ask: session.DecodedRequest{
			Texts:      d.texts,
			Statements: d.needs,
			Payload:    d.payload,
		},
		completes: d.completes,
	}
	if d.refused != "" {
		c = command{
			kind:     kindRefused,
			sqlState: d.sqlState,
			reason:   d.refused,
		}
	}
	if len(d.texts) == 0 && len(d.needs) == 0 && d.refused == "" {
		c.kind = kindEmpty
		c.simple = false
	}
	for _, text := range d.texts {
		if l := local(text); l.kind != kindRun {
			c = command{
				kind:     kindRefused,
				sqlState: stateUnsupported,
				reason:   "send settings of the proxy in the simple query protocol",
			}
		}
	}
	d.payload, d.texts, d.needs, d.completes = nil, nil, nil, nil
	d.refused, d.sqlState = "", ""
	return c
}

func statementName(query string, types []uint32) string {
	h := sha256.New()
	for _, t := range types {
		var number [4]byte
		binary.BigEndian.PutUint32(number[:], t)
		_, _ = h.Write(number[:])
	}
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(query))
	return "rosemarylb-" + hex.EncodeToString(h.Sum(nil)[:digestSize])
}

var (
	setting = regexp.MustCompile(
		`(?i)^\s*SET\s+(?:SESSION\s+)?([a-z_.]+)\s*(?:=|\s+TO\s+|\s+)\s*'?([^';]*)'?\s*;?\s*$`)
	showing   = regexp.MustCompile(`(?i)^\s*SHOW\s+(rosemarylb\.[a-z_]+)\s*;?\s*$`)
	statewise = regexp.MustCompile(
		`(?i)^\s*(LISTEN|UNLISTEN|PREPARE|DEALLOCATE|DISCARD|RESET|COPY|DECLARE|SET)\b`)
	harmless = regexp.MustCompile(
		`(?i)^(application_name|client_encoding|client_min_messages|datestyle|extra_float_digits|` +
			`standard_conforming_strings|statement_timeout|timezone)$`)
)
