package budget

import "github.com/VictoriaMetrics/metrics"

// reason is why a connection is closed.
type reason uint8

const (
	// reasonShare means that the connection alone holds too much.
	reasonShare reason = iota
	// reasonBudget means that all connections hold too much, and this one most.
	reasonBudget
	reasonCount
)

// reasonNames are the names of the reasons in logs and metrics.
var reasonNames = [reasonCount]string{"share", "budget"}

// closedTotal counts the closed connections by reason.
var closedTotal = [reasonCount]*metrics.Counter{
	metrics.NewCounter(`rosemarylb_connections_closed_total{reason="share"}`),
	metrics.NewCounter(`rosemarylb_connections_closed_total{reason="budget"}`),
}

// heldBytes is the number of bytes held for each kind, for all budgets of the process.
var heldBytes = [KindCount]*metrics.Gauge{
	metrics.NewGauge(`rosemarylb_held_bytes{kind="input"}`, nil),
	metrics.NewGauge(`rosemarylb_held_bytes{kind="queries"}`, nil),
	metrics.NewGauge(`rosemarylb_held_bytes{kind="state"}`, nil),
	metrics.NewGauge(`rosemarylb_held_bytes{kind="output"}`, nil),
}
