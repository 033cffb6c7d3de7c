package exhaustion

import (
	"testing"
)

// TestLargestMessageIsServed guards against a limit that refuses a message inside the
// limits when there is no load.
func TestLargestMessageIsServed(t *testing.T) {
	h := startHost(t)
	start := "WRITE item "
	h.checkAnswers(start + padding[:messageBytes-len(start)])
	h.checkAnswers("READ item")
	h.checkLimits()
}

// lineCrowd is a crowd at a port of the line protocol.
type lineCrowd struct {
	count  int
	member func(d dialect) member
	// wantsRow is true for a crowd that reads the row of answerBytes.
	wantsRow bool
}

// run checks an instance during and after the crowd at its callers' or relay port.
func (l lineCrowd) run(t *testing.T, relay bool) {
	h := startHost(t)
	if l.wantsRow {
		h.checkAnswers("WRITE row " + padding[:answerBytes])
	}
	address, d := h.frontAddress, callerDialect
	if relay {
		address, d = h.relayAddress, relayDialect
	}
	disperse := runCrowd(t, address, l.count, l.member(d))
	h.checkLimits()
	disperse()
	h.checkServes()
}

var (
	wholeStatements = lineCrowd{
		count: 64,
		member: func(d dialect) member {
			return sendStatements(d, 64, 1<<21, read)
		},
	}
	statementsInPieces = lineCrowd{
		count: 64,
		member: func(d dialect) member {
			return sendStatements(d, 16, 4096, read)
		},
	}
	unfinishedStatements = lineCrowd{
		count:  192,
		member: stopHalfWay,
	}
	endlessStatements = lineCrowd{
		count:  160,
		member: exceedLimit,
	}
	unreadRows = lineCrowd{
		count: 24,
		member: func(d dialect) member {
			return ignoreAnswers(d, 60, "READ row")
		},
		wantsRow: true,
	}
	slowReaders = lineCrowd{
		count: 24,
		member: func(d dialect) member {
			return readSlowly(d, 60, "READ row")
		},
		wantsRow: true,
	}
	unreadErrors = lineCrowd{
		count: 24,
		member: func(d dialect) member {
			return ignoreAnswers(d, 16_000, "EXECUTE "+padding[:1000]+" x")
		},
	}
	slowSenders = lineCrowd{
		count:  128,
		member: sendSlowly,
	}
	largeSettings = lineCrowd{
		count: 24,
		member: func(d dialect) member {
			return sendStatements(d, 16, 1<<21, set)
		},
	}
	largePreparedStatements = lineCrowd{
		count: 24,
		member: func(d dialect) member {
			return sendStatements(d, 16, 1<<21, prepare)
		},
	}
	manyConnections = lineCrowd{
		count:  600,
		member: connectOnly,
	}
)

// The following tests guard against callers that fill the memory of an instance, or
// use up its descriptors.

func TestCallersSendWholeStatements(t *testing.T) {
	wholeStatements.run(t, false)
}

func TestCallersSendStatementsInPieces(t *testing.T) {
	statementsInPieces.run(t, false)
}

func TestCallersStopHalfWay(t *testing.T) {
	unfinishedStatements.run(t, false)
}

func TestCallersExceedMessageLimit(t *testing.T) {
	endlessStatements.run(t, false)
}

func TestCallersLeaveRowsUnread(t *testing.T) {
	unreadRows.run(t, false)
}

func TestCallersReadSlowly(t *testing.T) {
	slowReaders.run(t, false)
}

func TestCallersLeaveErrorsUnread(t *testing.T) {
	unreadErrors.run(t, false)
}

func TestCallersSendSlowly(t *testing.T) {
	slowSenders.run(t, false)
}

func TestCallersKeepLargeSettings(t *testing.T) {
	largeSettings.run(t, false)
}

func TestCallersKeepLargePreparedStatements(t *testing.T) {
	largePreparedStatements.run(t, false)
}

func TestCallersOpenManyConnections(t *testing.T) {
	manyConnections.run(t, false)
}

// The following tests guard against the same at the port for relayed queries.

func TestRelaysSendWholeStatements(t *testing.T) {
	wholeStatements.run(t, true)
}

func TestRelaysStopHalfWay(t *testing.T) {
	unfinishedStatements.run(t, true)
}

func TestRelaysLeaveRowsUnread(t *testing.T) {
	unreadRows.run(t, true)
}

func TestRelaysLeaveErrorsUnread(t *testing.T) {
	unreadErrors.run(t, true)
}

func TestRelaysOpenManyConnections(t *testing.T) {
	manyConnections.run(t, true)
}
