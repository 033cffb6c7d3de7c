package rosemarylb

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Term numbers the reigns of primaries in a group. It only rises.
type Term uint64

// LSN is a log sequence number, the count of entries in an endpoint's log.
type LSN uint64

// Position is a place in the log of a group: the term that wrote the entry
// and the entry's log sequence number.
type Position struct {
	// Term is the term of the entry.
	Term Term
	// LSN is the log sequence number of the entry.
	LSN LSN
}

// ErrPosition reports a text that is not a position.
var ErrPosition = errors.New("a position has the form term/lsn")

// ParsePosition reads the form term/lsn, and returns ErrPosition otherwise.
func ParsePosition(text string) (Position, error) {
	term, lsn, found := strings.Cut(text, "/")
	if !found {
		return Position{}, errors.Wrapf(ErrPosition, "%q", text)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, errors.Wrapf(ErrPosition, "%q", text)
	}
	l, err := strconv.ParseUint(lsn, 10, 64)
	if err != nil {
		return Position{}, errors.Wrapf(ErrPosition, "%q", text)
	}
	return Position{
		Term: Term(t),
		LSN:  LSN(l),
	}, nil
}

// IsZero reports whether the position precedes every entry.
func (p Position) IsZero() bool {
	return p == Position{}
}

// Less orders positions by term and then by log sequence number, the order
// in which a candidate for promotion is chosen.
func (p Position) Less(other Position) bool {
	if p.Term != other.Term {
		return p.Term < other.Term
	}
	return p.LSN < other.LSN
}

// String returns the form term/lsn.
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + "/" + strconv.FormatUint(uint64(p.LSN), 10)
}
