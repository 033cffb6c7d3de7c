package rosemarylb

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Term is an election term of a group. It increases with each promotion.
type Term uint64

// LSN is a log sequence number, the number of log entries up to and including
// an entry.
type LSN uint64

// Position identifies an entry in the log of a group.
type Position struct {
	// Term is the term in which the entry was written.
	Term Term
	// LSN is the log sequence number of the entry.
	LSN LSN
}

// ErrPosition is returned by ParsePosition for an invalid text.
var ErrPosition = errors.New("a position has the form term/lsn")

// ParsePosition parses the form term/lsn. It returns ErrPosition if the text
// has another form.
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

// IsZero reports whether p is the zero position, which precedes every entry.
func (p Position) IsZero() bool {
	return p == Position{}
}

// Less reports whether p precedes other, by term and then by log sequence
// number. An election promotes the candidate with the greatest position.
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
