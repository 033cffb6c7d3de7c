package permit

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
)

// GrantList is an immutable list of the primaries that a lease holder grants, ordered
// by group. The holder and an instance that have the same version of it refer to a
// grant by its place.
type GrantList struct {
	version uint64
	token   uint64
	grants  []keeper.Grant
}

// NewGrantList returns the list of the grants of the holder of a token. The version is
// part of a SHA-256 over the token and all grants, so that no other holder and no other
// content has it.
func NewGrantList(token uint64, grants []keeper.Grant) GrantList {
	l := GrantList{
		token:  token,
		grants: sortedByGroup(grants),
	}
	content := binary.LittleEndian.AppendUint64(nil, token)
	for i, g := range l.grants {
		l.grants[i] = withoutPosition(g)
		for _, name := range []string{string(g.Group), string(g.Primary)} {
			content = binary.LittleEndian.AppendUint32(content, uint32(len(name)))
			content = append(content, name...)
		}
		content = binary.LittleEndian.AppendUint64(content, uint64(g.Term))
	}
	sum := sha256.Sum256(content)
	l.version = max(binary.LittleEndian.Uint64(sum[:]), 1)
	return l
}

func sortedByGroup(grants []keeper.Grant) []keeper.Grant {
	return slices.SortedFunc(slices.Values(grants), func(x, y keeper.Grant) int {
		return strings.Compare(string(x.Group), string(y.Group))
	})
}

func withoutPosition(g keeper.Grant) keeper.Grant {
	return keeper.Grant{
		Group:   g.Group,
		Primary: g.Primary,
		Term:    g.Term,
	}
}

// Version identifies the holder's token and the content of the list. It is 0 for no
// list.
func (l GrantList) Version() uint64 {
	return l.version
}

// Token returns the token of the holder.
func (l GrantList) Token() uint64 {
	return l.token
}

// Grants returns the grants in order, without positions. The caller must not change
// them.
func (l GrantList) Grants() []keeper.Grant {
	return l.grants
}

// Has reports whether the list has the given content, of the holder of a token. The
// grants need not be ordered; their positions do not matter.
func (l GrantList) Has(token uint64, grants []keeper.Grant) bool {
	if l.version == 0 || l.token != token || len(l.grants) != len(grants) {
		return false
	}
	for _, g := range grants {
		place, found := l.Place(g.Group)
		if !found || l.grants[place] != withoutPosition(g) {
			return false
		}
	}
	return true
}

// Place returns the place of a group's grant, and false if there is none.
func (l GrantList) Place(group rosemarylb.DatabaseName) (int, bool) {
	return slices.BinarySearchFunc(l.grants, group, func(g keeper.Grant, name rosemarylb.DatabaseName) int {
		return strings.Compare(string(g.Group), string(name))
	})
}

// WithPositions returns the grants in order with the given positions. Grants of groups
// that the list lacks are left out.
func (l GrantList) WithPositions(grants []keeper.Grant) []keeper.Grant {
	ordered := slices.Clone(l.grants)
	for _, g := range grants {
		if place, found := l.Place(g.Group); found {
			ordered[place] = g
		}
	}
	return ordered
}
