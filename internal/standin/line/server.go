package line

import (
	"bufio"
	"net"
	"strconv"
	"strings"
)

// Server is one endpoint.
type Server struct {
	group    *Group
	id       string
	listener net.Listener
	primary  bool
	stopped  bool
	term     int
	behind   int
	conns    map[net.Conn]struct{}
}

// Start runs an endpoint of a group on a loopback address. Its first endpoint
// leads.
func Start(g *Group, id string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		group:    g,
		id:       id,
		listener: l,
		term:     1,
		conns:    map[net.Conn]struct{}{},
	}
	g.mu.Lock()
	s.primary = len(g.servers) == 0
	g.servers[id] = s
	g.mu.Unlock()
	go s.accept()
	return s, nil
}

// Address returns where the endpoint listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// SetBehind has a replica lack the last commits of the log.
func (s *Server) SetBehind(commits int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.behind = commits
}

// Stop ends the endpoint and breaks its connections.
func (s *Server) Stop() {
	s.group.mu.Lock()
	s.stopped = true
	s.primary = false
	conns := s.conns
	s.conns = map[net.Conn]struct{}{}
	s.group.mu.Unlock()
	_ = s.listener.Close()
	for c := range conns {
		_ = c.Close()
	}
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		s.conns[c] = struct{}{}
		s.group.mu.Unlock()
		go s.serve(c)
	}
}

// session is one connection to the endpoint.
type session struct {
	server   *Server
	state    string
	readOnly bool
	writes   map[string]string
	prepared map[string]string
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
	}()
	k := &session{
		server:   s,
		state:    "I",
		prepared: map[string]string{},
	}
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		verb, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		answer := ""
		switch verb {
		case "CONNECT":
			f := strings.Fields(rest)
			if len(f) == 3 && (f[0] != s.group.name || f[2] != s.id) {
				_, _ = c.Write([]byte("ERROR WRONGNODE " + s.id + "\r\n"))
				return
			}
		case "QUERY":
			_, text, _ := strings.Cut(rest, " ")
			answer = k.query(text)
		default:
			return
		}
		s.group.mu.Lock()
		ready := "READY " + k.state + " " + s.group.position(s.applied()) + "\r\n"
		s.group.mu.Unlock()
		if _, err := c.Write([]byte(answer + ready)); err != nil {
			return
		}
	}
}

// applied is how many commits the endpoint shows; the group is locked.
func (s *Server) applied() int {
	if s.primary {
		return len(s.group.log)
	}
	return max(len(s.group.log)-s.behind, 0)
}

func (k *session) done(rows ...string) string {
	answer := ""
	for _, r := range rows {
		answer += "ROW " + r + "\r\n"
	}
	return answer + "COMPLETE signed." + k.server.id + "\r\n"
}

func (k *session) fail(code string) string {
	if k.state != "I" {
		k.state = "E"
	}
	return "ERROR " + code + " " + k.server.id + "\r\n"
}

// query runs one statement.
func (k *session) query(text string) string {
	s := k.server
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if rest, waits := strings.CutPrefix(text, "WAITPOS "); waits {
		position, statement, _ := strings.Cut(rest, " ")
		_, number, _ := strings.Cut(position, ".")
		if n, _ := strconv.Atoi(number); n > s.applied() {
			return k.fail("LAGGING")
		}
		text = statement
	}
	f := strings.Fields(text)
	switch f[0] {
	case "STATUS":
		role := "replica"
		if s.primary {
			role = "primary"
		}
		return k.done(role + " " + strconv.Itoa(g.term) + " " + g.position(len(g.log)) + " 0 0 0 " +
			strconv.Itoa(len(s.conns)))
	case "STEPDOWN":
		s.primary = false
		return k.done("replica " + strconv.Itoa(g.term) + " " + g.position(len(g.log)) + " 0 0 0 1")
	case "SET", "RESET":
		return "COMPLETE -\r\n"
	case "PREPARE":
		k.prepared[f[1]] = f[2]
		return "COMPLETE -\r\n"
	case "BEGIN":
		return k.begin(len(f) > 1)
	case "ROLLBACK":
		k.state, k.writes = "I", nil
		return "COMPLETE -\r\n"
	case "COMMIT":
		return k.commit()
	case "EXECUTE":
		access, found := k.prepared[f[1]]
		if !found {
			return k.fail("NOSTMT")
		}
		return k.run(append([]string{access}, f[2:]...))
	default:
		return k.run(f)
	}
}

func (k *session) begin(readOnly bool) string {
	if !readOnly && !k.server.primary {
		return k.fail("READONLY")
	}
	k.state, k.readOnly, k.writes = "T", readOnly, map[string]string{}
	return "COMPLETE -\r\n"
}

func (k *session) commit() string {
	g := k.server.group
	if k.state == "E" || len(k.writes) > 0 && !k.server.primary {
		k.state = "I"
		return "ERROR ABORTED -\r\n"
	}
	k.state = "I"
	if len(k.writes) > 0 {
		g.log = append(g.log, entry{
			term:   g.term,
			writes: k.writes,
		})
	}
	return k.done()
}

// run reads or writes an item.
func (k *session) run(f []string) string {
	g := k.server.group
	switch {
	case f[0] == "READ" && len(f) == 2:
		return k.done(g.value(f[1], k.server.applied()))
	case f[0] != "WRITE" || len(f) != 3:
		return k.fail("MALFORMED")
	case !k.server.primary:
		return k.fail("READONLY")
	case k.state == "T":
		k.writes[f[1]] = f[2]
	default:
		g.log = append(g.log, entry{
			term:   g.term,
			writes: map[string]string{f[1]: f[2]},
		})
	}
	return k.done()
}
