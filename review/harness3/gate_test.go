//go:build review

package harness3

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// gate forwards the connections of machines to a server. It knows by CONNECT which
// machine has opened a connection, and can partition machines from the server: what they
// send is held up, and so is what they are sent.
type gate struct {
	listener net.Listener
	target   string

	mu      sync.Mutex // guards the fields below
	cutOff  map[string]bool
	changed chan struct{}
}

func startGate(r *run, target string) (*gate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{
		listener: l,
		target:   target,
		cutOff:   map[string]bool{},
		changed:  make(chan struct{}),
	}
	go g.accept()
	r.onCleanUp(func() { _ = l.Close() })
	return g, nil
}

func (g *gate) address() string {
	return g.listener.Addr().String()
}

// partition cuts machines off from the server, and connects all others.
func (g *gate) partition(names ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cutOff = map[string]bool{}
	for _, n := range names {
		g.cutOff[n] = true
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// await waits while a machine is cut off.
func (g *gate) await(name string) {
	for {
		g.mu.Lock()
		cut, changed := g.cutOff[name], g.changed
		g.mu.Unlock()
		if !cut {
			return
		}
		<-changed
	}
}

func (g *gate) accept() {
	for {
		c, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.serve(c)
	}
}

func (g *gate) serve(machine net.Conn) {
	defer func() { _ = machine.Close() }()
	reader := bufio.NewReader(machine)
	greeting, err := reader.ReadString('\n')
	fields := strings.Fields(greeting)
	if err != nil || len(fields) < 3 {
		return
	}
	name := fields[2]
	g.await(name)
	server, err := net.DialTimeout("tcp", g.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	if _, err := server.Write([]byte(greeting)); err != nil {
		return
	}
	go func() {
		g.forward(name, reader, server)
		_ = server.Close()
	}()
	g.forward(name, server, machine)
}

// forward copies bytes of a machine's connection until it ends.
func (g *gate) forward(name string, from io.Reader, to io.Writer) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		g.await(name)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
