package line

import (
	"bufio"
	"maps"
	"net"
	"strconv"
	"strings"
	"time"
)

// Execution records a statement of a caller that an endpoint ran.
type Execution struct {
	// ID is the query identifier chosen by the caller, Text the statement.
	ID, Text string
	// Server is the name of the endpoint.
	Server string
	// Connection and Transaction identify where it ran. A statement outside a
	// transaction gets a number of its own.
	Connection, Transaction int
	// Shape is the query shape given to PREPARE, empty unless EXECUTE ran it.
	Shape string
	// Settings are the settings of the session at that time.
	Settings map[string]string
	// Rows and Signature are those of the response.
	Rows      []string
	Signature string
	// RanAt is the time at which it ran.
	RanAt time.Time

	log []*Commit
}

// HasCommit reports whether the log contained a commit when the statement ran.
func (r Execution) HasCommit(c Commit) bool {
	return c.Number <= len(r.log) && r.log[c.Number-1].IDs[0] == c.IDs[0]
}

// session is the state of one connection to the endpoint.
type session struct {
	server            *Server
	connectionNumber  int
	transactionNumber int
	transactionState  string
	readOnly          bool
	pendingWrites     map[string]string
	pendingIDs        []string
	values            map[string]string
	prepared          map[string]string
	isBroken          bool
}

func (s *Server) accept(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		s.connections[connection] = struct{}{}
		s.group.mu.Unlock()
		go s.serve(connection)
	}
}

func (s *Server) serve(connection net.Conn) {
	g := s.group
	g.mu.Lock()
	g.lastNumber++
	c := &session{
		server:           s,
		connectionNumber: g.lastNumber,
		transactionState: "I",
		values:           map[string]string{},
		prepared:         map[string]string{},
	}
	g.mu.Unlock()
	defer func() {
		_ = connection.Close()
		g.mu.Lock()
		delete(s.connections, connection)
		g.mu.Unlock()
	}()
	reader := bufio.NewReader(connection)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		verb, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		response := ""
		switch verb {
		case "CONNECT":
			if response = c.admissionError(strings.Fields(rest)); response != "" {
				_, _ = connection.Write([]byte(response))
				return
			}
		case "QUERY":
			id, text, _ := strings.Cut(rest, " ")
			response = c.execute(id, text)
		default:
			return
		}
		if c.isBroken {
			return
		}
		g.mu.Lock()
		ready := "READY " + c.transactionState + " " + formatPosition(s.term, s.appliedCount()) + "\r\n"
		g.mu.Unlock()
		if _, err := connection.Write([]byte(response + ready)); err != nil {
			return
		}
	}
}

// admissionError returns the error for a CONNECT with the given arguments, empty
// if the connection is accepted.
func (c *session) admissionError(fields []string) string {
	s := c.server
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	switch {
	case len(fields) == 3 && (fields[0] != s.group.name || fields[2] != s.id):
		return "ERROR WRONGNODE " + s.id + "\r\n"
	case s.group.connectionLimit > 0 && len(s.connections) > s.group.connectionLimit:
		return "ERROR CONNLIMIT " + s.id + "\r\n"
	default:
		return ""
	}
}

// execute runs a statement in a slot and returns the response. It marks the
// session as broken if the endpoint has stopped or loses the response.
func (c *session) execute(id, text string) string {
	s := c.server
	s.group.mu.Lock()
	statementTime, occupied := s.group.statementTime, len(s.slots)
	s.group.mu.Unlock()
	if statementTime > 0 && needsSlot(text) {
		if occupied >= slotLimit+queueLimit {
			return c.fail("BUSY")
		}
		s.slots <- struct{}{}
		time.Sleep(statementTime)
		<-s.slots
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.advanceTo(time.Now())
	if s.isStopped {
		c.isBroken = true
		return ""
	}
	response := c.dispatch(id, text)
	if id != "-" && faultOccurs(s.faults.LoseResponse) {
		c.isBroken = true
	}
	return response
}

// needsSlot reports whether a statement occupies a slot. SET, PREPARE and RESET do
// not.
func needsSlot(text string) bool {
	return !strings.HasPrefix(text, "SET") && !strings.HasPrefix(text, "PREPARE") && !strings.HasPrefix(text, "RESET")
}

// complete returns a response of rows and a signature. The caller holds the lock
// of the group.
func (c *session) complete(rows ...string) string {
	response := ""
	for _, row := range rows {
		response += "ROW " + row + "\r\n"
	}
	return response + "COMPLETE " + c.signature() + "\r\n"
}

// signature returns the signature of the response to the statement recorded last.
func (c *session) signature() string {
	g := c.server.group
	if !g.hasNumberedSignatures {
		return "signed." + c.server.id
	}
	return "signed." + c.server.id + "." + strconv.Itoa(len(g.executions))
}

// fail returns an error response, and aborts the open transaction if there is one.
func (c *session) fail(code string) string {
	if c.transactionState != "I" {
		c.transactionState = "E"
	}
	return "ERROR " + code + " " + c.server.id + "\r\n"
}

// dispatch runs a statement and returns the response. The caller holds the lock
// of the group.
func (c *session) dispatch(id, text string) string {
	s := c.server
	sent := text
	if rest, found := strings.CutPrefix(text, "WAITPOS "); found {
		position, statement, _ := strings.Cut(rest, " ")
		termText, numberText, _ := strings.Cut(position, ".")
		term, _ := strconv.Atoi(termText)
		number, _ := strconv.Atoi(numberText)
		if !s.hasPosition(term, number) {
			return c.fail("LAGGING")
		}
		text = statement
		sent = statement
	}
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return c.fail("MALFORMED")
	}
	if c.transactionState == "E" && fields[0] != "ROLLBACK" && fields[0] != "COMMIT" {
		return c.fail("MALFORMED")
	}
	if response, handled := c.executeControl(fields); handled {
		return response
	}
	switch fields[0] {
	case "BEGIN":
		return c.begin(len(fields) > 1)
	case "ROLLBACK":
		c.endTransaction()
		return "COMPLETE -\r\n"
	case "COMMIT":
		return c.commit(id, sent)
	case "EXECUTE":
		if len(fields) < 3 {
			return c.fail("MALFORMED")
		}
		prepared, found := c.prepared[fields[1]]
		if !found {
			return c.fail("NOSTMT")
		}
		access, shape, _ := strings.Cut(prepared, " ")
		return c.readOrWrite(id, sent, shape, append([]string{access}, fields[2:]...))
	default:
		return c.readOrWrite(id, sent, "", fields)
	}
}

// argumentCounts holds the number of arguments of control statements.
var argumentCounts = map[string]int{
	"PAUSE":    1,
	"STEPDOWN": 1,
	"SET":      2,
	"PREPARE":  3,
	"DEALLOC":  1,
}

// executeControl runs a statement that reads or changes the state of the endpoint
// or of the session rather than data. It returns false for any other statement.
func (c *session) executeControl(fields []string) (response string, handled bool) {
	s := c.server
	if count, known := argumentCounts[fields[0]]; known && len(fields) != count+1 {
		return c.fail("MALFORMED"), true
	}
	switch fields[0] {
	case "STATUS":
		return c.complete(s.formatStatus()), true
	case "PAUSE":
		s.isPaused = !s.isPrimary
		return c.complete(s.formatStatus()), true
	case "RESUME":
		s.isPaused = false
		return c.complete(s.formatStatus()), true
	case "STEPDOWN":
		if term, _ := strconv.Atoi(fields[1]); s.term < term {
			s.isPrimary = false
		}
		return c.complete(s.formatStatus()), true
	case "SET":
		c.values = maps.Clone(c.values)
		c.values[fields[1]] = fields[2]
	case "RESET":
		c.values = map[string]string{}
		c.prepared = map[string]string{}
	case "PREPARE":
		c.prepared[fields[1]] = fields[2] + " " + fields[3]
	case "DEALLOC":
		delete(c.prepared, fields[1])
	default:
		return "", false
	}
	return "COMPLETE -\r\n", true
}

func (c *session) begin(readOnly bool) string {
	if !readOnly && !c.server.isPrimary {
		return c.fail("READONLY")
	}
	c.server.group.lastNumber++
	c.transactionNumber = c.server.group.lastNumber
	c.transactionState, c.readOnly, c.pendingWrites = "T", readOnly, map[string]string{}
	c.pendingIDs = nil
	return "COMPLETE -\r\n"
}

func (c *session) endTransaction() {
	c.transactionState, c.readOnly, c.pendingWrites, c.pendingIDs = "I", false, nil, nil
}

func (c *session) commit(id, text string) string {
	s := c.server
	writes, ids, failed := c.pendingWrites, append(c.pendingIDs, id), c.transactionState != "T"
	defer c.endTransaction()
	switch {
	case failed:
		c.transactionState = "I"
		return "ERROR ABORTED -\r\n"
	case len(writes) > 0 && !s.isPrimary:
		c.transactionState = "I"
		return "ERROR READONLY " + s.id + "\r\n"
	}
	if len(writes) > 0 {
		s.group.appendCommit(s, writes, ids, time.Now())
	}
	c.record(id, text, "", nil)
	return c.complete()
}

// record adds a statement to the executions of the group. The entry is appended
// before its fields are set, as the signature counts it.
func (c *session) record(id, text, shape string, rows []string) {
	g := c.server.group
	transaction := c.transactionNumber
	if c.transactionState == "I" {
		g.lastNumber++
		transaction = g.lastNumber
	}
	g.executions = append(g.executions, Execution{})
	g.executions[len(g.executions)-1] = Execution{
		ID:          id,
		Text:        text,
		Server:      c.server.id,
		Connection:  c.connectionNumber,
		Transaction: transaction,
		Shape:       shape,
		Settings:    c.values,
		Rows:        rows,
		Signature:   c.signature(),
		RanAt:       time.Now(),
		log:         c.server.log[:c.server.appliedCount()],
	}
}

// readOrWrite runs a READ or a WRITE of an item. Within a transaction, writes take
// effect at COMMIT.
func (c *session) readOrWrite(id, text, shape string, fields []string) string {
	s := c.server
	inReadWriteTransaction := c.transactionState == "T" && !c.readOnly
	switch {
	case inReadWriteTransaction && !s.isPrimary:
		return c.fail("READONLY")
	case fields[0] == "READ" && len(fields) == 2:
		row, written := c.pendingWrites[fields[1]]
		if !written {
			row = s.lookup(fields[1])
		}
		c.record(id, text, shape, []string{row})
		if faultOccurs(s.faults.FailRead) {
			return c.fail("FAILED")
		}
		return c.complete(row)
	case fields[0] != "WRITE" || len(fields) != 3:
		return c.fail("MALFORMED")
	case !s.isPrimary || c.readOnly:
		return c.fail("READONLY")
	}
	c.record(id, text, shape, nil)
	if c.transactionState == "T" {
		c.pendingWrites[fields[1]] = fields[2]
		c.pendingIDs = append(c.pendingIDs, id)
		return c.complete()
	}
	s.group.appendCommit(s, map[string]string{fields[1]: fields[2]}, []string{id}, time.Now())
	return c.complete()
}
