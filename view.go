package rosemarylb

import "github.com/benbjohnson/immutable"

// View is what an instance knows of the fleet at one moment.
type View struct {
	// Self is the instance that holds the view.
	Self Member
	// Members are the known instances, ordered by name, Self included.
	Members []Member
	// Service is the configuration in force.
	Service Service
	// Document is the source text of the configuration.
	Document []byte
	// Primaries are the announced primaries by database.
	Primaries *immutable.Map[DatabaseName, Primary]
}

// NewView returns the view of an instance that knows only itself.
func NewView(self Member) View {
	return View{
		Self:      self,
		Members:   []Member{self},
		Primaries: immutable.NewMap[DatabaseName, Primary](nil),
	}
}

// Primary returns the announced primary of a database.
func (v View) Primary(name DatabaseName) (Primary, bool) {
	return v.Primaries.Get(name)
}

// Member returns an instance by name.
func (v View) Member(id InstanceID) (Member, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// WithPrimary returns the view with an announced primary, unless a primary
// of the same or a later term is known.
func (v View) WithPrimary(p Primary) View {
	if known, found := v.Primaries.Get(p.Database); found && !p.Supersedes(known) {
		return v
	}
	v.Primaries = v.Primaries.Set(p.Database, p)
	return v
}

// WithService returns the view with a configuration in force, unless the
// same or a later revision is.
func (v View) WithService(s Service, document []byte) View {
	if s.Revision <= v.Service.Revision {
		return v
	}
	v.Service = s
	v.Document = document
	v.Self = v.Self.WithRevision(s.Revision)
	return v.WithMembers(replaceMember(v.Members, v.Self))
}

// WithMembers returns the view with another list of members.
func (v View) WithMembers(members []Member) View {
	v.Members = members
	return v
}

// WithSelf returns the view with its own instance in another state.
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
