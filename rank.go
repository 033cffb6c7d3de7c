package rosemarylb

import "github.com/cockroachdb/errors"

// Rank is the priority class of a request. Lower values have higher priority.
type Rank uint8

// The ranks.
const (
	RankUrgent Rank = iota
	RankStandard
	RankBackground
	// RankCount is the number of ranks.
	RankCount = 3
)

var rankNames = [RankCount]string{"urgent", "standard", "background"}

// ErrRank is returned by ParseRank for an unknown name.
var ErrRank = errors.New("a rank is urgent, standard or background")

// ParseRank parses the name of a rank. It returns ErrRank if there is no rank of
// that name.
func ParseRank(text string) (Rank, error) {
	for i, name := range rankNames {
		if name == text {
			return Rank(i), nil
		}
	}
	return 0, errors.Wrapf(ErrRank, "%q", text)
}

// String returns the name of the rank.
func (r Rank) String() string {
	if int(r) >= RankCount {
		return "invalid"
	}
	return rankNames[r]
}
