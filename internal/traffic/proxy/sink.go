package proxy

import "rosemarylb"

// Opened implements rosemarylb.EndpointSink.
func (p *Proxy) Opened(id rosemarylb.ConnectionID) {
	p.ring.Put(ConnectionOpened{
		Connection: id,
	})
}

// Replied implements rosemarylb.EndpointSink.
func (p *Proxy) Replied(id rosemarylb.ConnectionID, r rosemarylb.Reply) {
	p.ring.Put(ReplyReceived{
		Connection: id,
		Reply:      r,
	})
}

// Lost implements rosemarylb.EndpointSink.
func (p *Proxy) Lost(id rosemarylb.ConnectionID, code rosemarylb.ReplyCode) {
	p.ring.Put(ConnectionLost{
		Connection: id,
		Code:       code,
	})
}

// Joined implements rosemarylb.CallerSink.
func (p *Proxy) Joined(id rosemarylb.SessionID, database string, _ rosemarylb.EndpointID) {
	p.ring.Put(SessionOpened{
		Session:  id,
		Database: database,
	})
}

// Asked implements rosemarylb.CallerSink.
func (p *Proxy) Asked(id rosemarylb.SessionID, q rosemarylb.Query) {
	p.ring.Put(QueryReceived{
		Session: id,
		Query:   q,
	})
}

// Left implements rosemarylb.CallerSink.
func (p *Proxy) Left(id rosemarylb.SessionID) {
	p.ring.Put(SessionClosed{
		Session: id,
	})
}
