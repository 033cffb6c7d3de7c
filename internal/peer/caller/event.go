package caller

import (
	"time"

	"rosemarylb"
)

// Event is an event of the duty that manages sessions.
type Event interface {
	sessionEvent()
}

// OutcomeReceived reports the outcome of a request.
type OutcomeReceived struct {
	// Outcome is the outcome.
	Outcome rosemarylb.Outcome
}

// CancelRequested requests the cancellation of a session's request in flight. It
// carries the cancel key that the session received at its start.
type CancelRequested struct {
	// Process identifies the instance and the session.
	Process uint32
	// Secret authorizes the cancellation.
	Secret uint32
	// Forwarded is true when another instance forwarded the request, which is
	// then not forwarded again.
	Forwarded bool
}

// DrainStarted starts the graceful shutdown of all sessions.
type DrainStarted struct {
	// Deadline is when all sessions are disconnected, also those with a request
	// in flight or an open transaction.
	Deadline time.Time
}

// sessionOpened reports the start-up message of a caller.
type sessionOpened struct {
	socket   *socket
	user     string
	database string
	floor    string
}

// requestReceived reports a decoded command of a caller.
type requestReceived struct {
	socket  *socket
	command command
}

// sessionClosed reports that a caller's connection is closed.
type sessionClosed struct {
	socket *socket
}

func (OutcomeReceived) sessionEvent() {}
func (CancelRequested) sessionEvent() {}
func (DrainStarted) sessionEvent()    {}
func (sessionOpened) sessionEvent()   {}
func (requestReceived) sessionEvent() {}
func (sessionClosed) sessionEvent()   {}
