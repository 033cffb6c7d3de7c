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
func (e Execution) HasCommit(c Commit) bool {
	return c.Number <= len(e.log) && e.log[c.Number-1].IDs[0] == c.IDs[0]
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
	// unconfirmed is a commit that a replica has to receive before the response.
	unconfirmed *Commit
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
			c.awaitReplica()
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
func (ss *session) admissionError(fields []string) string {
	s := ss.server
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
func (ss *session) execute(id, text string) string {
	s := ss.server
	s.group.mu.Lock()
	statementTime, occupied := s.group.statementTime, len(s.slots)
	s.group.mu.Unlock()
	if statementTime > 0 && needsSlot(text) {
		if occupied >= slotLimit+queueLimit {
			return ss.fail("BUSY")
		}
		s.slots <- struct{}{}
		time.Sleep(statementTime)
		<-s.slots
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.advanceTo(time.Now())
	if s.isStopped {
		ss.isBroken = true
		return ""
	}
	response := ss.dispatch(id, text)
	if id != "-" && faultOccurs(s.faults.LoseResponse) {
		ss.isBroken = true
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
func (ss *session) complete(rows ...string) string {
	response := ""
	for _, row := range rows {
		response += "ROW " + row + "\r\n"
	}
	return response + "COMPLETE " + ss.signature() + "\r\n"
}

// signature returns the signature of the response to the statement recorded last.
func (ss *session) signature() string {
	g := ss.server.group
	if !g.hasNumberedSignatures {
		return "signed." + ss.server.id
	}
	return "signed." + ss.server.id + "." + strconv.Itoa(len(g.executions))
}

// fail returns an error response, and aborts the open transaction if there is one.
func (ss *session) fail(code string) string {
	if ss.transactionState != "I" {
		ss.transactionState = "E"
	}
	return "ERROR " + code + " " + ss.server.id + "\r\n"
}

// dispatch runs a statement and returns the response. The caller holds the lock
// of the group.
func (ss *session) dispatch(id, text string) string {
	s := ss.server
	sent := text
	if rest, found := strings.CutPrefix(text, "WAITPOS "); found {
		position, statement, _ := strings.Cut(rest, " ")
		termText, numberText, _ := strings.Cut(position, ".")
		term, _ := strconv.Atoi(termText)
		number, _ := strconv.Atoi(numberText)
		if !s.hasPosition(term, number) {
			return ss.fail("LAGGING")
		}
		text = statement
		sent = statement
	}
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return ss.fail("MALFORMED")
	}
	if ss.transactionState == "E" && fields[0] != "ROLLBACK" && fields[0] != "COMMIT" {
		return ss.fail("MALFORMED")
	}
	if response, handled := ss.executeControl(fields); handled {
		return response
	}
	switch fields[0] {
	case "BEGIN":
		return ss.begin(len(fields) > 1)
	case "ROLLBACK":
		ss.endTransaction()
		return "COMPLETE -\r\n"
	case "COMMIT":
		return ss.commit(id, sent)
	case "EXECUTE":
		if len(fields) < 3 {
			return ss.fail("MALFORMED")
		}
		prepared, found := ss.prepared[fields[1]]
		if !found {
			return ss.fail("NOSTMT")
		}
		access, shape, _ := strings.Cut(prepared, " ")
		return ss.readOrWrite(id, sent, shape, append([]string{access}, fields[2:]...))
	default:
		return ss.readOrWrite(id, sent, "", fields)
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

// changesSession reports whether a statement changes the state of the session alone.
func changesSession(verb string) bool {
	switch verb {
	case "SET", "RESET", "PREPARE", "DEALLOC":
		return true
	default:
		return false
	}
}

// executeControl runs a statement that reads or changes the state of the endpoint
// or of the session rather than data. It returns false for any other statement.
func (ss *session) executeControl(fields []string) (response string, handled bool) {
	s := ss.server
	if count, known := argumentCounts[fields[0]]; known && len(fields) != count+1 {
		return ss.fail("MALFORMED"), true
	}
	if changesSession(fields[0]) && ss.inReadWriteTransaction() && !s.isPrimary {
		return ss.fail("READONLY"), true
	}
	switch fields[0] {
	case "STATUS":
		return ss.complete(s.formatStatus()), true
	case "PAUSE":
		s.isPaused = !s.isPrimary
		return ss.complete(s.formatStatus()), true
	case "RESUME":
		s.isPaused = false
		return ss.complete(s.formatStatus()), true
	case "STEPDOWN":
		if term, _ := strconv.Atoi(fields[1]); s.term < term {
			s.isPrimary = false
		}
		return ss.complete(s.formatStatus()), true
	case "SET":
		ss.values = maps.Clone(ss.values)
		ss.values[fields[1]] = fields[2]
	case "RESET":
		ss.values = map[string]string{}
		ss.prepared = map[string]string{}
	case "PREPARE":
		ss.prepared[fields[1]] = fields[2] + " " + fields[3]
	case "DEALLOC":
		delete(ss.prepared, fields[1])
	default:
		return "", false
	}
	return "COMPLETE -\r\n", true
}

func (ss *session) begin(readOnly bool) string {
	if !readOnly && !ss.server.isPrimary {
		return ss.fail("READONLY")
	}
	ss.server.group.lastNumber++
	ss.transactionNumber = ss.server.group.lastNumber
	ss.transactionState, ss.readOnly, ss.pendingWrites = "T", readOnly, map[string]string{}
	ss.pendingIDs = nil
	return "COMPLETE -\r\n"
}

func (ss *session) endTransaction() {
	ss.transactionState, ss.readOnly, ss.pendingWrites, ss.pendingIDs = "I", false, nil, nil
}

func (ss *session) commit(id, text string) string {
	s := ss.server
	writes, ids, failed := ss.pendingWrites, append(ss.pendingIDs, id), ss.transactionState != "T"
	defer ss.endTransaction()
	switch {
	case failed:
		ss.transactionState = "I"
		return "ERROR ABORTED -\r\n"
	case len(writes) > 0 && !s.isPrimary:
		ss.transactionState = "I"
		return "ERROR READONLY " + s.id + "\r\n"
	}
	if len(writes) > 0 {
		ss.unconfirmed = s.group.appendCommit(s, writes, ids, time.Now())
	}
	ss.record(id, text, "", nil)
	return ss.complete()
}

// record adds a statement to the executions of the group. The entry is appended
// before its fields are set, as the signature counts it.
func (ss *session) record(id, text, shape string, rows []string) {
	g := ss.server.group
	transaction := ss.transactionNumber
	if ss.transactionState == "I" {
		g.lastNumber++
		transaction = g.lastNumber
	}
	g.executions = append(g.executions, Execution{})
	g.executions[len(g.executions)-1] = Execution{
		ID:          id,
		Text:        text,
		Server:      ss.server.id,
		Connection:  ss.connectionNumber,
		Transaction: transaction,
		Shape:       shape,
		Settings:    ss.values,
		Rows:        rows,
		Signature:   ss.signature(),
		RanAt:       time.Now(),
		log:         ss.server.log[:ss.server.appliedCount()],
	}
}

// inReadWriteTransaction reports whether a plain transaction is open. An endpoint that no
// longer leads refuses its statements.
func (ss *session) inReadWriteTransaction() bool {
	return ss.transactionState == "T" && !ss.readOnly
}

// readOrWrite runs a READ or a WRITE of an item. Within a transaction, writes take
// effect at COMMIT.
func (ss *session) readOrWrite(id, text, shape string, fields []string) string {
	s := ss.server
	switch {
	case ss.inReadWriteTransaction() && !s.isPrimary:
		return ss.fail("READONLY")
	case fields[0] == "READ" && len(fields) == 2:
		row, written := ss.pendingWrites[fields[1]]
		if !written {
			row = s.lookup(fields[1])
		}
		ss.record(id, text, shape, []string{row})
		if faultOccurs(s.faults.FailRead) {
			return ss.fail("FAILED")
		}
		return ss.complete(row)
	case fields[0] != "WRITE" || len(fields) != 3:
		return ss.fail("MALFORMED")
	case !s.isPrimary || ss.readOnly:
		return ss.fail("READONLY")
	}
	ss.record(id, text, shape, nil)
	if ss.transactionState == "T" {
		ss.pendingWrites[fields[1]] = fields[2]
		ss.pendingIDs = append(ss.pendingIDs, id)
		return ss.complete()
	}
	ss.unconfirmed = s.group.appendCommit(s, map[string]string{fields[1]: fields[2]}, []string{id}, time.Now())
	return ss.complete()
}
