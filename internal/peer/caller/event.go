package caller

import (
	"context"
	"time"

	"rosemarylb"

	"github.com/panjf2000/gnet/v2"
)

// stopTimeout bounds the end of the event loops.
const stopTimeout = 2 * time.Second

func stopEngine(e gnet.Engine) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = e.Stop(ctx)
}

// Event is what the edge duty decides on.
type Event interface {
	edgeEvent()
}

// Settled brings the outcome of a request.
type Settled struct {
	// Outcome is the outcome.
	Outcome rosemarylb.Outcome
}

// CancelAsked asks to cancel what a session does, by the key that it was
// given at its start.
type CancelAsked struct {
	// Process names the instance and the session.
	Process uint32
	// Secret proves the right to cancel.
	Secret uint32
	// Forwarded is true when another instance passed it on.
	Forwarded bool
}

// Drained starts the end of all sessions.
type Drained struct {
	// Deadline is when sessions are cut whatever they do.
	Deadline time.Time
}

type joined struct {
	socket   *socket
	user     string
	database string
	floor    string
}

type asked struct {
	socket  *socket
	command command
}

type gone struct {
	socket *socket
}

func (Settled) edgeEvent()     {}
func (CancelAsked) edgeEvent() {}
func (Drained) edgeEvent()     {}
func (joined) edgeEvent()      {}
func (asked) edgeEvent()       {}
func (gone) edgeEvent()        {}
