package rosemarylb

import "github.com/cockroachdb/errors"

// Rank is the class of service of a request; lower values go first.
type Rank uint8

// The three ranks.
const (
	RankUrgent Rank = iota
	RankStandard
	RankBackground
	// RankCount is the number of ranks.
	RankCount = 3
)

var rankNames = [RankCount]string{"urgent", "standard", "background"}

// ErrRank reports a text that is not a rank.
var ErrRank = errors.New("a rank is urgent, standard or background")

// ParseRank reads the name of a rank, and returns ErrRank otherwise.
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
