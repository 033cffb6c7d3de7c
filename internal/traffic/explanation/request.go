// Package explanation holds the values in which an instance explains where a request
// would go. It is independent of how they are transmitted.
package explanation

import (
	"strings"

	"rosemarylb"

	"github.com/cockroachdb/errors"
)

// Kind is the kind of a request.
type Kind string

// The kinds.
const (
	// KindRead is a read outside a transaction.
	KindRead Kind = "read"
	// KindWrite is a write outside a transaction.
	KindWrite Kind = "write"
	// KindBegin is the first statement of a transaction.
	KindBegin Kind = "begin"
	// KindBeginRead is the first statement of a read-only transaction.
	KindBeginRead Kind = "begin-read"
)

var (
	// ErrKind is returned by ParseKind for an unknown kind.
	ErrKind = errors.New("the kind is read, write, begin or begin-read")
	// ErrFloor is returned by ParseFloor for an invalid text.
	ErrFloor = errors.New("a floor has the form term.lsn")
)

// Request is a request that an instance is asked about. It is immutable.
type Request struct {
	// Database is the database name that the caller connects to.
	Database string
	// Team is the caller's team, empty for a caller without one.
	Team rosemarylb.TeamName
	// Kind is the kind of the request.
	Kind Kind
	// Floor is the least log position that a read has to see.
	Floor rosemarylb.Position
}

// ParseKind parses a kind. It returns ErrKind if there is no such kind.
func ParseKind(text string) (Kind, error) {
	switch k := Kind(text); k {
	case KindRead, KindWrite, KindBegin, KindBeginRead:
		return k, nil
	default:
		return "", errors.Wrapf(ErrKind, "%q", text)
	}
}

// ParseFloor parses the form term.lsn; the empty text is the zero position. It returns
// ErrFloor if the text has another form.
func ParseFloor(text string) (rosemarylb.Position, error) {
	if text == "" {
		return rosemarylb.Position{}, nil
	}
	floor, err := rosemarylb.ParsePosition(strings.Replace(text, ".", "/", 1))
	if err != nil || strings.Contains(text, "/") {
		return rosemarylb.Position{}, errors.Wrapf(ErrFloor, "%q", text)
	}
	return floor, nil
}
