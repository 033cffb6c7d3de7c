package rosemarylb

// ServiceConfig is the accepted configuration of a fleet whose operators list the
// endpoints. Durations are whole milliseconds; state that is derived from them stores
// deadlines only.
type ServiceConfig struct {
	// Revision increases with each accepted configuration.
	Revision uint64
	// Databases are the groups.
	Databases []Database
	// Callers are the settings of individual users.
	Callers []CallerSpec
	// Shares is the minimum share of an endpoint's slots for each rank, in
	// percent.
	Shares [RankCount]int
	// TargetMillis is the target latency of each rank, in milliseconds.
	TargetMillis [RankCount]int64
	// QueueLimit is the maximum number of requests queued for an endpoint.
	QueueLimit int
	// ReplicaWaitMillis is the maximum time that a read waits for a replica to
	// reach its floor, in milliseconds.
	ReplicaWaitMillis int64
	// RequestMillis is the total timeout of a request, in milliseconds.
	RequestMillis int64
	// DrainMillis is the timeout of a graceful shutdown, in milliseconds.
	DrainMillis int64

	databaseIndex     map[DatabaseName]int
	endpointDatabases map[EndpointID]DatabaseName
}

// WithIndex returns the configuration with the indexes that Database and
// Endpoint need. Databases must be complete.
func (s ServiceConfig) WithIndex() ServiceConfig {
	s.databaseIndex = make(map[DatabaseName]int, len(s.Databases))
	s.endpointDatabases = map[EndpointID]DatabaseName{}
	for i, d := range s.Databases {
		s.databaseIndex[d.Name] = i
		for _, e := range d.Endpoints {
			s.endpointDatabases[e.ID] = d.Name
		}
	}
	return s
}

// Database is a configured group of endpoints.
type Database struct {
	// Name identifies the database.
	Name DatabaseName
	// Endpoints are the members of the group.
	Endpoints []EndpointSpec
}

// Quorum returns the number of endpoints that must hold a commit before it is
// acknowledged, and that must vote for a term before a promotion: a majority.
func (d Database) Quorum() int {
	return len(d.Endpoints)/2 + 1
}

// Endpoint returns the endpoint of the given name, and false if it is not in the
// group.
func (d Database) Endpoint(id EndpointID) (EndpointSpec, bool) {
	for _, e := range d.Endpoints {
		if e.ID == id {
			return e, true
		}
	}
	return EndpointSpec{}, false
}

// CallerSpec is the configuration of a user.
type CallerSpec struct {
	// Name is the user name.
	Name string
	// Rank is the priority class of the user's requests.
	Rank Rank
	// StalenessMillis is the maximum staleness of the user's reads, in
	// milliseconds, 0 for none.
	StalenessMillis int64
	// Linearizable requires linearizable reads.
	Linearizable bool
}

// Database returns the group of the given name, and false if there is none. It
// requires WithIndex.
func (s ServiceConfig) Database(name DatabaseName) (Database, bool) {
	i, found := s.databaseIndex[name]
	if !found {
		return Database{}, false
	}
	return s.Databases[i], true
}

// Endpoint returns the endpoint of the given name, and false if there is none.
// It requires WithIndex.
func (s ServiceConfig) Endpoint(id EndpointID) (EndpointSpec, bool) {
	name, found := s.endpointDatabases[id]
	if !found {
		return EndpointSpec{}, false
	}
	d, _ := s.Database(name)
	return d.Endpoint(id)
}

// Caller returns the configuration of a user. A user that is not configured has
// RankStandard.
func (s ServiceConfig) Caller(name string) CallerSpec {
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

// WithRevision returns the configuration with another revision.
func (s ServiceConfig) WithRevision(r uint64) ServiceConfig {
	s.Revision = r
	return s
}
