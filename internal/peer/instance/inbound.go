package instance

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"rosemarylb/internal/process/budget"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

// maxInboundStreams is the maximum number of calls in progress on a connection. An
// instance has one call of each kind in progress at a time.
const maxInboundStreams = 16

// inboundListener counts the bytes that its connections have received for calls in
// progress.
type inboundListener struct {
	net.Listener

	budget *budget.Budget
	mu     sync.Mutex // guards conns
	conns  map[string]*inboundConn
}

// inboundConn is a connection of another instance.
type inboundConn struct {
	net.Conn

	listener *inboundListener
	key      string
	account  *budget.Account
	// calls is the number of calls in progress.
	calls atomic.Int64
}

// newInboundListener returns a listener that counts in b, and the options that a
// server on it needs.
func newInboundListener(l net.Listener, b *budget.Budget) (*inboundListener, []grpc.ServerOption) {
	i := &inboundListener{
		Listener: l,
		budget:   b,
		conns:    map[string]*inboundConn{},
	}
	return i, []grpc.ServerOption{
		grpc.StatsHandler(i),
		grpc.MaxConcurrentStreams(maxInboundStreams),
	}
}

// Accept implements net.Listener.
func (i *inboundListener) Accept() (net.Conn, error) {
	accepted, err := i.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &inboundConn{
		Conn:     accepted,
		listener: i,
		key:      accepted.RemoteAddr().String(),
	}
	c.account = i.budget.Open(func() {
		_ = accepted.Close()
	})
	i.mu.Lock()
	i.conns[c.key] = c
	i.mu.Unlock()
	return c, nil
}

// Read implements net.Conn.
func (c *inboundConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err == nil && !c.account.Add(budget.KindInput, int64(n)) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *inboundConn) Close() error {
	c.listener.mu.Lock()
	if c.listener.conns[c.key] == c {
		delete(c.listener.conns, c.key)
	}
	c.listener.mu.Unlock()
	c.account.Close()
	return c.Conn.Close()
}

// connKey is the context key of a connection.
type connKey struct{}

// TagConn implements stats.Handler.
func (i *inboundListener) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	i.mu.Lock()
	c := i.conns[info.RemoteAddr.String()]
	i.mu.Unlock()
	return context.WithValue(ctx, connKey{}, c)
}

// HandleConn implements stats.Handler.
func (*inboundListener) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (*inboundListener) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}

// HandleRPC implements stats.Handler. Once the message of the only call in progress is
// decoded, or no call is left, nothing that was received is held any longer.
func (*inboundListener) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, ok := ctx.Value(connKey{}).(*inboundConn)
	if !ok || c == nil {
		return
	}
	switch s.(type) {
	case *stats.Begin:
		c.calls.Add(1)
	case *stats.InPayload:
		if c.calls.Load() == 1 {
			c.account.Set(budget.KindInput, 0)
		}
	case *stats.End:
		if c.calls.Add(-1) == 0 {
			c.account.Set(budget.KindInput, 0)
		}
	}
}
