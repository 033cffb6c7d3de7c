package proxy

import "rosemarylb"

// ConnectionOpened implements rosemarylb.EndpointSink.
func (p *Proxy) ConnectionOpened(id rosemarylb.ConnectionID) {
	p.ring.Put(ConnectionOpened{
		Connection: id,
	})
}

// ReplyReceived implements rosemarylb.EndpointSink.
func (p *Proxy) ReplyReceived(id rosemarylb.ConnectionID, r rosemarylb.Reply) {
	p.ring.Put(ReplyReceived{
		Connection: id,
		Reply:      r,
	})
}

// ConnectionLost implements rosemarylb.EndpointSink.
func (p *Proxy) ConnectionLost(id rosemarylb.ConnectionID, code rosemarylb.ReplyCode) {
	p.ring.Put(ConnectionLost{
		Connection: id,
		Code:       code,
	})
}

// SessionOpened implements rosemarylb.CallerSink.
func (p *Proxy) SessionOpened(id rosemarylb.SessionID, r rosemarylb.SessionRequest) {
	p.ring.Put(SessionOpened{
		Session:  id,
		Database: r.Database,
		Key:      r.Key,
	})
}

// QueryReceived implements rosemarylb.CallerSink.
func (p *Proxy) QueryReceived(id rosemarylb.SessionID, q rosemarylb.Query) {
	p.ring.Put(QueryReceived{
		Session: id,
		Query:   q,
	})
}

// SessionClosed implements rosemarylb.CallerSink.
func (p *Proxy) SessionClosed(id rosemarylb.SessionID) {
	p.ring.Put(SessionClosed{
		Session: id,
	})
}
