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

// Database returns the group of the given name.
func (s Service) Database(name DatabaseName) (Database, bool) {
	for _, d := range s.Databases {
		if d.Name == name {
			return d, true
		}
	}
	return Database{}, false
}

// Endpoint returns the endpoint of the given name.
func (s Service) Endpoint(id EndpointID) (EndpointSpec, bool) {
	for _, d := range s.Databases {
		if e, found := d.Endpoint(id); found {
			return e, true
		}
	}
	return EndpointSpec{}, false
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
