package rosemarylb

import "github.com/benbjohnson/immutable"

// View is an instance's view of the fleet.
type View struct {
	// Self is the local instance.
	Self Member
	// Members are the known instances including Self, sorted by name.
	Members []Member
	// ServiceConfig is the active configuration.
	ServiceConfig ServiceConfig
	// Document is the source text of the configuration.
	Document []byte
	// Primaries are the announced primaries by database.
	Primaries *immutable.Map[DatabaseName, Primary]
}

// NewView returns a view that contains only the local instance.
func NewView(self Member) View {
	return View{
		Self:      self,
		Members:   []Member{self},
		Primaries: immutable.NewMap[DatabaseName, Primary](nil),
	}
}

// Primary returns the announced primary of a database, and false if there is
// none.
func (v View) Primary(name DatabaseName) (Primary, bool) {
	return v.Primaries.Get(name)
}

// Member returns an instance by name, and false if it is not known.
func (v View) Member(id InstanceID) (Member, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// WithPrimary returns the view with an announced primary. It has no effect if a
// primary of the same or a later term is known.
func (v View) WithPrimary(p Primary) View {
	if known, found := v.Primaries.Get(p.Database); found && !p.Supersedes(known) {
		return v
	}
	v.Primaries = v.Primaries.Set(p.Database, p)
	return v
}

// WithServiceConfig returns the view with another active configuration. It has no
// effect if the same or a later revision is active.
func (v View) WithServiceConfig(s ServiceConfig, document []byte) View {
	if s.Revision <= v.ServiceConfig.Revision {
		return v
	}
	v.ServiceConfig = s
	v.Document = document
	v.Self = v.Self.WithRevision(s.Revision)
	return v.WithMembers(replaceMember(v.Members, v.Self))
}

// WithMembers returns the view with another list of members.
func (v View) WithMembers(members []Member) View {
	v.Members = members
	return v
}

// WithSelf returns the view with another record of the local instance.
func (v View) WithSelf(self Member) View {
	v.Self = self
	return v.WithMembers(replaceMember(v.Members, self))
}

func replaceMember(members []Member, m Member) []Member {
	changed := make([]Member, len(members))
	copy(changed, members)
	for i := range changed {
		if changed[i].ID == m.ID {
			changed[i] = m
		}
	}
	return changed
}
