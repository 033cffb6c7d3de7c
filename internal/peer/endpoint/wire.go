// Package endpoint talks to the database servers over the PostgreSQL protocol
// and owns the connections to those endpoints that are placed on this
// instance.
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
	// headerSize is the size of a message's type and length, in bytes.
	headerSize = 5
	// messageLimit is the size of the largest message accepted, in bytes.
	messageLimit = 16 << 20
	// positionParameter reports the position that an answer contains.
	positionParameter = "commit_position"
)

// SQLSTATEs of endpoints that the proxy acts on.
const (
	stateTooManyConnections = "53300"
	stateReadOnly           = "25006"
)

// Message types that the proxy looks into.
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

// frame returns the first whole message of a buffer, nil if there is none.
func frame(buffer []byte) ([]byte, error) {
	if len(buffer) < headerSize {
		return nil, nil
	}
	length := int(binary.BigEndian.Uint32(buffer[1:headerSize]))
	if length < headerSize-1 || length > messageLimit {
		return nil, errors.Wrapf(errMalformed, "length %d", length)
	}
	if len(buffer) < length+1 {
		return nil, nil
	}
	return buffer[:length+1], nil
}

// startup encodes the start-up message of a connection.
func startup(database, name string) []byte {
	return mustEncode(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             "rosemarylb",
			"database":         database,
			"application_name": name,
		},
	})
}

// cancellation encodes the request to cancel a connection's statement.
func cancellation(process uint32, secret []byte) []byte {
	return mustEncode(&pgproto3.CancelRequest{
		ProcessID: process,
		SecretKey: secret,
	})
}

// query encodes a query text.
func query(text string) []byte {
	return mustEncode(&pgproto3.Query{
		String: text,
	})
}

func mustEncode(m interface{ Encode([]byte) ([]byte, error) }) []byte {
	encoded, err := m.Encode(nil)
	if err != nil {
		panic(errors.Wrap(err, "a message of our own does not encode"))
	}
	return encoded
}

// parses encodes the preparation of statements.
func parses(statements []rosemarylb.Statement) ([]byte, error) {
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

// stripParses removes the leading answers to injected preparations, and
// returns how many of them succeeded.
func stripParses(payload []byte, injected int) ([]byte, int) {
	done := 0
	for done < injected && len(payload) >= headerSize && payload[0] == typeParseComplete {
		payload = payload[headerSize:]
		done++
	}
	return payload, done
}

// controlText is the text of a command; each is a function that an endpoint
// has to offer.
func controlText(c rosemarylb.Command) string {
	switch c.Kind {
	case rosemarylb.CommandFence:
		return fmt.Sprintf("SELECT rosemarylb_fence(%d, '%s')", c.Term, c.Proposer)
	case rosemarylb.CommandPromote:
		return fmt.Sprintf("SELECT rosemarylb_promote(%d, '%s')", c.Term, c.Proposer)
	case rosemarylb.CommandFollow:
		return fmt.Sprintf("SELECT rosemarylb_follow(%d, '%s')", c.Term, c.Upstream)
	case rosemarylb.CommandEvict:
		return fmt.Sprintf("SELECT rosemarylb_evict(0, '%s')", dataName(c.Evicted))
	default:
		return "SELECT rosemarylb_status()"
	}
}

// dataName is the application name of an instance's data connections.
func dataName(id rosemarylb.InstanceID) string {
	return "data " + string(id)
}

// The columns of an endpoint's answer to a command.
const (
	columnGranted = iota
	columnPrimary
	columnTerm
	columnLog
	columnApplied
	columnAge
	columnCount
)

// decodeState reads the answer to a command.
func decodeState(
	id rosemarylb.EndpointID, payload []byte, askedAt time.Time,
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
		ProbedAt: askedAt,
	}
	if age >= 0 {
		state.CaughtUpAt = askedAt.Add(-time.Duration(age) * time.Millisecond)
	}
	return state, string(row[columnGranted]) == "true", nil
}

func firstRow(payload []byte) ([][]byte, error) {
	for len(payload) > 0 {
		m, err := frame(payload)
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
		if err := row.Decode(m[headerSize:]); err != nil {
			return nil, errors.Wrap(errMalformed, "row")
		}
		if len(row.Values) != columnCount {
			return nil, errors.Wrap(errMalformed, "columns")
		}
		return row.Values, nil
	}
	return nil, errors.Wrap(errMalformed, "no row")
}
