// Package endpoint communicates with the database servers over the PostgreSQL
// protocol. It owns the connections to the endpoints placed on this instance, and
// probes their state.
package endpoint

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"time"

	"rosemarylb"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// headerBytes is the size of a message's type and length.
	headerBytes = 5
	// maxMessageBytes is the size of the largest message accepted, without its type.
	maxMessageBytes = 16 << 20
	// positionParameter is the server parameter that reports the commit position
	// which a response contains.
	positionParameter = "commit_position"
)

// SQLSTATE codes on which the proxy acts.
const (
	sqlStateTooManyConnections = "53300"
	sqlStateReadOnly           = "25006"
)

// Message types that the proxy inspects.
const (
	typeAuthentication  = 'R'
	typeParameterStatus = 'S'
	typeBackendKey      = 'K'
	typeReady           = 'Z'
	typeError           = 'E'
	typeParseComplete   = '1'
	typeCopyIn          = 'G'
	typeDataRow         = 'D'
)

var errMalformed = errors.New("malformed message from the endpoint")

// nextMessage returns the first complete message of a buffer, nil if it is incomplete,
// and an error if its length is invalid.
func nextMessage(buffer []byte) ([]byte, error) {
	if len(buffer) < headerBytes {
		return nil, nil
	}
	length := int(binary.BigEndian.Uint32(buffer[1:headerBytes]))
	if length < headerBytes-1 || length > maxMessageBytes {
		return nil, errors.Wrapf(errMalformed, "length %d", length)
	}
	if len(buffer) < length+1 {
		return nil, nil
	}
	return buffer[:length+1], nil
}

// encodeStartup encodes the start-up message of a connection to a database under an
// application name.
func encodeStartup(database, name string) []byte {
	return mustEncode(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             "rosemarylb",
			"database":         database,
			"application_name": name,
		},
	})
}

// encodeCancel encodes a cancel request for the connection with a process ID and
// secret key.
func encodeCancel(process uint32, secret []byte) []byte {
	return mustEncode(&pgproto3.CancelRequest{
		ProcessID: process,
		SecretKey: secret,
	})
}

// encodeQuery encodes a simple query.
func encodeQuery(text string) []byte {
	return mustEncode(&pgproto3.Query{
		String: text,
	})
}

// mustEncode encodes a message and panics on an error, which can only come from the
// proxy's own code.
func mustEncode(m interface{ Encode([]byte) ([]byte, error) }) []byte {
	encoded, err := m.Encode(nil)
	if err != nil {
		panic(errors.Wrap(err, "a message of our own does not encode"))
	}
	return encoded
}

// encodeParses encodes the Parse messages that prepare statements.
func encodeParses(statements []rosemarylb.Statement) ([]byte, error) {
	var encoded []byte
	for _, s := range statements {
		m := pgproto3.Parse{
			Name:          s.Name,
			Query:         s.Query,
			ParameterOIDs: s.ParameterTypes,
		}
		var err error
		encoded, err = m.Encode(encoded)
		if err != nil {
			return nil, errors.Wrap(err, "prepare")
		}
	}
	return encoded, nil
}

// stripParseCompletes removes the leading ParseComplete messages that answer injected
// Parse messages, and returns the rest of the payload and how many it has removed.
func stripParseCompletes(payload []byte, injected int) ([]byte, int) {
	completed := 0
	for completed < injected && len(payload) >= headerBytes && payload[0] == typeParseComplete {
		payload = payload[headerBytes:]
		completed++
	}
	return payload, completed
}

// commandQuery returns the SQL of a command, a call of a function that endpoints have
// to provide.
func commandQuery(c rosemarylb.Command) string {
	switch c.Kind {
	case rosemarylb.CommandFence:
		return fmt.Sprintf("SELECT rosemarylb_fence(%d, '%s')", c.Term, c.Proposer)
	case rosemarylb.CommandPromote:
		return fmt.Sprintf("SELECT rosemarylb_promote(%d, '%s')", c.Term, c.Proposer)
	case rosemarylb.CommandFollow:
		return fmt.Sprintf("SELECT rosemarylb_follow(%d, '%s')", c.Term, c.Upstream)
	case rosemarylb.CommandEvict:
		return fmt.Sprintf("SELECT rosemarylb_evict(0, '%s')", dataApplicationName(c.Evicted))
	default:
		return "SELECT rosemarylb_status()"
	}
}

// dataApplicationName returns the application name of an instance's data connections,
// by which an endpoint evicts them.
func dataApplicationName(id rosemarylb.InstanceID) string {
	return "data " + string(id)
}

// The columns of the row with which an endpoint answers a command.
const (
	columnGranted = iota
	columnPrimary
	columnTerm
	columnLog
	columnApplied
	columnAge
	columnCount
)

// decodeState decodes the response to a command that was sent at probedAt, and whether
// the endpoint granted the command. A negative age means that the endpoint does not
// know when it was last caught up.
func decodeState(
	id rosemarylb.EndpointID, payload []byte, probedAt time.Time,
) (state rosemarylb.EndpointState, granted bool, err error) {
	row, err := firstRow(payload)
	if err != nil {
		return state, false, err
	}
	term, err := strconv.ParseUint(string(row[columnTerm]), 10, 64)
	if err != nil {
		return state, false, errors.Wrap(errMalformed, "term")
	}
	log, err := rosemarylb.ParsePosition(string(row[columnLog]))
	if err != nil {
		return state, false, err
	}
	applied, err := rosemarylb.ParsePosition(string(row[columnApplied]))
	if err != nil {
		return state, false, err
	}
	age, err := strconv.ParseInt(string(row[columnAge]), 10, 64)
	if err != nil {
		return state, false, errors.Wrap(errMalformed, "age")
	}
	state = rosemarylb.EndpointState{
		ID:       id,
		Primary:  string(row[columnPrimary]) == "true",
		Term:     rosemarylb.Term(term),
		Log:      log,
		Applied:  applied,
		ProbedAt: probedAt,
	}
	if age >= 0 {
		state.CaughtUpAt = probedAt.Add(-time.Duration(age) * time.Millisecond)
	}
	return state, string(row[columnGranted]) == "true", nil
}

// firstRow returns the values of the first row in a response.
func firstRow(payload []byte) ([][]byte, error) {
	for len(payload) > 0 {
		m, err := nextMessage(payload)
		if err != nil {
			return nil, err
		}
		if m == nil {
			break
		}
		payload = payload[len(m):]
		if m[0] != typeDataRow {
			continue
		}
		var row pgproto3.DataRow
		if err := row.Decode(m[headerBytes:]); err != nil {
			return nil, errors.Wrap(errMalformed, "row")
		}
		if len(row.Values) != columnCount {
			return nil, errors.Wrap(errMalformed, "columns")
		}
		return row.Values, nil
	}
	return nil, errors.Wrap(errMalformed, "no row")
}
