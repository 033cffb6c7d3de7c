package explanation

// Outcome is what would happen to a request.
type Outcome string

// The outcomes.
const (
	// OutcomeGoes means that the request would be sent to an endpoint.
	OutcomeGoes Outcome = "goes"
	// OutcomeWaits means that the request would be queued.
	OutcomeWaits Outcome = "waits"
	// OutcomeRefused means that the request would be refused at once.
	OutcomeRefused Outcome = "refused"
)

// Connection is the connection that a request would be sent on.
type Connection string

// The connections.
const (
	// ConnectionOpen is an idle connection.
	ConnectionOpen Connection = "open"
	// ConnectionShared is a connection on which a reply to another read is awaited.
	ConnectionShared Connection = "shared"
	// ConnectionNew is a connection that would be opened.
	ConnectionNew Connection = "new"
)

// Decision is what would happen to a request, and why.
type Decision struct {
	// Outcome is what would happen.
	Outcome Outcome `json:"outcome"`
	// Endpoint is the endpoint that the request would go to, empty for none.
	Endpoint string `json:"endpoint,omitempty"`
	// Connection is the connection that it would go on, empty for none.
	Connection Connection `json:"connection,omitempty"`
	// Via is the address of the instance that would relay the request, empty for a
	// direct connection.
	Via string `json:"via,omitempty"`
	// Code is the code with which the request would be refused, at once or after it has
	// waited in vain.
	Code string `json:"code,omitempty"`
	// Reason is what the request would wait for, or why it would be refused.
	Reason string `json:"reason,omitempty"`
	// RetryAfterMillis is the time after which a refused caller may come back, in
	// milliseconds, 0 if unknown.
	RetryAfterMillis int64 `json:"retry-after-ms,omitempty"`
	// WaitsAtMostMillis is the time after which a waiting request would be refused, in
	// milliseconds.
	WaitsAtMostMillis int64 `json:"waits-at-most-ms,omitempty"`
}

// Candidate is an endpoint of the group that a request is routed to.
type Candidate struct {
	// Endpoint is the endpoint.
	Endpoint string `json:"endpoint"`
	// Role is primary for the endpoint of the latest permit, else replica.
	Role string `json:"role"`
	// Domain and Region are the location of the endpoint.
	Domain string `json:"domain"`
	Region string `json:"region"`
	// CostMillis is the expected time to answer a read, in milliseconds.
	CostMillis float64 `json:"cost-ms"`
	// Serves reports whether the endpoint may serve the request and can be reached now.
	Serves bool `json:"serves"`
	// Reason is why it does not serve the request, empty if it does.
	Reason string `json:"reason,omitempty"`
	// Connection is the connection that the request would go on, empty for none.
	Connection Connection `json:"connection,omitempty"`
	// Via is the address of the instance that would relay the request, empty for a
	// direct connection.
	Via string `json:"via,omitempty"`
	// Owners are the addresses of the instances that hold the endpoint's connections,
	// in the order in which the team asks them.
	Owners []string `json:"owners,omitempty"`
}

// Explanation is where a request would go. It is immutable.
type Explanation struct {
	// Group is the replicated database that the request is routed to, empty for none.
	Group string `json:"group,omitempty"`
	// Version is the version of the configuration in force.
	Version uint64 `json:"version"`
	// Decision is what would happen to the request.
	Decision Decision `json:"decision"`
	// Candidates are the endpoints of the group.
	Candidates []Candidate `json:"candidates,omitempty"`
}

// WithDecision returns the explanation with a decision.
func (e Explanation) WithDecision(d Decision) Explanation {
	e.Decision = d
	return e
}

// WithCandidates returns the explanation of a request to a group with its endpoints.
func (e Explanation) WithCandidates(group string, candidates []Candidate) Explanation {
	e.Group = group
	e.Candidates = candidates
	return e
}
