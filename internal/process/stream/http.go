package stream

import (
	"net"
	"net/http"
	"time"

	"rosemarylb/internal/process/budget"
	"rosemarylb/internal/process/duty"
)

const (
	// maxHeaderBytes bounds the header of an HTTP request. The servers' clients send
	// short headers only.
	maxHeaderBytes = 16 << 10
	// readTimeout bounds the time to read a request, and idleTimeout the time
	// between two requests of a connection.
	readTimeout = 2 * time.Second
	idleTimeout = 60 * time.Second
)

// ServeHTTP serves HTTP on a listener, on as many connections as the pool allows. The
// returned function closes the server.
func ServeHTTP(l net.Listener, s budget.Server, p *budget.Pool, h http.Handler) func() {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	wait := duty.Spawn(func() {
		_ = server.Serve(LimitListener(l, s, p))
	})
	return func() {
		_ = server.Close()
		wait()
	}
}
