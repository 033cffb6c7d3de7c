package rosemarylb

// Service is an accepted configuration. Spans of time are settings in whole
// milliseconds; state made from them holds deadlines only.
type Service struct {
	// Revision orders accepted configurations; it only rises.
	Revision uint64
	// Databases are the groups, by name.
	Databases []Database
	// Callers give users their rank.
	Callers []CallerSpec
	// Shares is the least share in percent of the slots that a rank keeps.
	Shares [RankCount]int
	// TargetMillis is the time within which a rank's request is to be served.
	TargetMillis [RankCount]int64
	// QueueLimit is how many requests may wait for one endpoint.
	QueueLimit int
	// ReplicaWaitMillis is how long a read may wait for a replica.
	ReplicaWaitMillis int64
	// RequestMillis is the time that a request has in all.
	RequestMillis int64
	// DrainMillis bounds a graceful shutdown.
	DrainMillis int64

	databases map[DatabaseName]int
	endpoints map[EndpointID]DatabaseName
}

// WithIndex returns the configuration prepared for look-ups by name. It is
// called once the databases are complete.
func (s Service) WithIndex() Service {
	s.databases = make(map[DatabaseName]int, len(s.Databases))
	s.endpoints = map[EndpointID]DatabaseName{}
	for i, d := range s.Databases {
		s.databases[d.Name] = i
		for _, e := range d.Endpoints {
			s.endpoints[e.ID] = d.Name
		}
	}
	return s
}

// Database is a configured group of endpoints.
type Database struct {
	// Name names the database.
	Name DatabaseName
	// Endpoints are the members of the group.
	Endpoints []EndpointSpec
}

// Quorum is how many endpoints of the group have to hold a commit before it
// is acknowledged, and to grant a term before a promotion.
func (d Database) Quorum() int {
	return len(d.Endpoints)/2 + 1
}

// Endpoint returns the endpoint of the given name.
func (d Database) Endpoint(id EndpointID) (EndpointSpec, bool) {
	for _, e := range d.Endpoints {
		if e.ID == id {
			return e, true
		}
	}
	return EndpointSpec{}, false
}

// CallerSpec is the configured service of one user.
type CallerSpec struct {
	// Name is the user name.
	Name string
	// Rank is the class of service of its requests.
	Rank Rank
	// StalenessMillis is the age of data that its reads accept, 0 for none.
	StalenessMillis int64
	// Latest asks for confirmed reads.
	Latest bool
}

// Database returns the group of the given name. The configuration has to be
// indexed.
func (s Service) Database(name DatabaseName) (Database, bool) {
	i, found := s.databases[name]
	if !found {
		return Database{}, false
	}
	return s.Databases[i], true
}

// Endpoint returns the endpoint of the given name. The configuration has to
// be indexed.
func (s Service) Endpoint(id EndpointID) (EndpointSpec, bool) {
	name, found := s.endpoints[id]
	if !found {
		return EndpointSpec{}, false
	}
	d, _ := s.Database(name)
	return d.Endpoint(id)
}

// Caller returns the configured service of a user, by default standard.
func (s Service) Caller(name string) CallerSpec {
	for _, c := range s.Callers {
		if c.Name == name {
			return c
		}
	}
	return CallerSpec{
		Name: name,
		Rank: RankStandard,
	}
}

// WithRevision returns the configuration under another revision.
func (s Service) WithRevision(r uint64) Service {
	s.Revision = r
	return s
}
