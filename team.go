package rosemarylb

import "crypto/sha256"

// TeamName identifies a team. It is empty for callers without one.
type TeamName string

// keyDigestSize is the size of a KeyDigest in bytes.
const keyDigestSize = 16

// KeyDigest is the digest of an API key: the first bytes of its SHA-256. Keys
// themselves are not kept. The zero value stands for no key.
type KeyDigest [keyDigestSize]byte

// NewKeyDigest returns the digest of an API key.
func NewKeyDigest(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:keyDigestSize])
}

// Team is the configuration of a team of callers.
type Team struct {
	// Name identifies the team.
	Name TeamName
	// Keys are the digests of the API keys that its callers may use.
	Keys []KeyDigest
	// RatePerSecond is the quota of the team in operations a second over all
	// instances, 0 for no quota. An operation is a statement outside a transaction, or
	// a whole transaction.
	RatePerSecond float64
	// Burst is the number of operations that the team may run at once beyond its rate.
	Burst float64
	// Priority orders the teams of a rank, 0 for the highest, UsualPriority for the usual
	// one.
	Priority int
}

// UsualPriority is the priority of teams that are not given another one.
const UsualPriority = 1

// maxWeight is the weight of teams of the highest priority.
const maxWeight = 8

// Weight returns the team's weight in a queue. It halves with each step of the priority,
// down to 1.
func (t Team) Weight() int {
	return max(maxWeight>>max(t.Priority, 0), 1)
}

// HasQuota reports whether the operations of the team are limited.
func (t Team) HasQuota() bool {
	return t.RatePerSecond > 0
}
