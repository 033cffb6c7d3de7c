package soak

import (
	"fmt"
	"sync"
	"time"
)

// operation is a single statement or a transaction of one session.
type operation struct {
	session        int
	group          string
	staleness      time.Duration
	readYourWrites bool
	startedAt      time.Time
	queries        []*query
	// commitID is the ID of the COMMIT or of the single statement; empty as long as
	// neither was sent.
	commitID string
	// reportedNotApplied is true once a reply said that nothing was applied.
	reportedNotApplied bool
	// succeeded is true once all of the operation succeeded, at succeededAt.
	succeeded   bool
	succeededAt time.Time
}

// query is one statement that a session sent.
type query struct {
	operation *operation
	id        string
	text      string
	shape     string
	variables map[string]string
	succeeded bool
	// answeredByProxy is true for statements that the proxy answers without an
	// endpoint.
	answeredByProxy bool
	rows            []string
	signature       string
}

// Recorder holds the statements that callers sent, the replies that they received
// and the violations that were found.
type Recorder struct {
	mu          sync.Mutex
	startedAt   time.Time
	sent        map[string]*query
	operations  []*operation
	replyCounts map[string]int
	violations  []string
	recorded    map[string]bool
}

func newRecorder() *Recorder {
	return &Recorder{
		startedAt:   time.Now(),
		sent:        map[string]*query{},
		replyCounts: map[string]int{},
		recorded:    map[string]bool{},
	}
}

// recordViolationf records a violation, once for each text. The text begins with
// the guarantee that was violated:
//
//	CONFIG   an instance keeps a configuration that it has applied
//	DRAIN    a draining endpoint gets no new requests
//	EXIT     an instance exits only when it is told to
//	LATE     a request gets a reply in time
//	LOST     a request is not dropped without a reply, and a commit that a synchronous
//	         replica has received not by a promotion
//	MIXED    a reply matches what an endpoint did for the statement
//	ONE      a group has one primary at a time
//	PINNED   a transaction stays on one connection, with its session's state
//	RECOVER  all routes are served again soon after the last fault
//	REFUSED  a request reported as not applied is not committed
//	ROUTE    a statement runs in the group of its route
//	STALE    a read sees all commits that its route guarantees
//	START    all instances become ready
//	TWICE    a write is committed at most once
//	UNASKED  an endpoint runs only what a caller sent
//
// HARNESS marks a failure of the harness itself.
func (rc *Recorder) recordViolationf(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.recorded[text] {
		return
	}
	rc.recorded[text] = true
	rc.violations = append(rc.violations, fmt.Sprintf("%.2f s: %s", time.Since(rc.startedAt).Seconds(), text))
}

// addOperation records an operation before its first statement is sent.
func (rc *Recorder) addOperation(op *operation) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	op.startedAt = time.Now()
	rc.operations = append(rc.operations, op)
}

// recordSent records a statement before it is sent. ends is true for the last
// statement of an operation, whose ID becomes the commit ID.
func (rc *Recorder) recordSent(q *query, ends bool) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if ends {
		q.operation.commitID = q.id
	}
	q.operation.queries = append(q.operation.queries, q)
	rc.sent[q.id] = q
}

// notAppliedCodes are the error codes after which nothing of an operation is
// committed.
var notAppliedCodes = map[string]bool{
	"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "WRONGNODE": true, "CONNLIMIT": true, "NODB": true,
}

func (rc *Recorder) recordReply(q *query, r reply) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	code := r.code
	if code == "" {
		code = "OK"
	}
	rc.replyCounts[code]++
	if notAppliedCodes[r.code] {
		q.operation.reportedNotApplied = true
	}
	q.succeeded = r.code == ""
	q.rows = r.rows
	q.signature = r.signature
}

// recordSuccess marks an operation as succeeded now.
func (rc *Recorder) recordSuccess(op *operation) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	op.succeeded = true
	op.succeededAt = time.Now()
}

// copyOperations returns deep copies of all operations.
func (rc *Recorder) copyOperations() []*operation {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	var copies []*operation
	for _, op := range rc.operations {
		c := *op
		c.queries = nil
		for _, q := range op.queries {
			k := *q
			c.queries = append(c.queries, &k)
		}
		copies = append(copies, &c)
	}
	return copies
}

// copySent returns copies of all sent statements by ID.
func (rc *Recorder) copySent() map[string]query {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	copies := map[string]query{}
	for id, q := range rc.sent {
		copies[id] = *q
	}
	return copies
}
