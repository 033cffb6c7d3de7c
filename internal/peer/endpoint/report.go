package endpoint

import (
	"rosemarylb"
)

// Report is one endpoint's part of a dump.
type Report struct {
	// Endpoint is the name of the endpoint.
	Endpoint string `json:"endpoint"`
	// Owned is true when this instance owns it.
	Owned bool `json:"owned"`
	// Primary is the known primary of its database.
	Primary string `json:"primary"`
	// Term is the term of that primary.
	Term uint64 `json:"term"`
	// Applied is the endpoint's last known position.
	Applied string `json:"applied"`
	// Connections is the number of connections in each state.
	Connections map[string]int `json:"connections"`
	// Running is the number of requests sent to it that have no response yet.
	Running int `json:"running"`
	// Queued is the number of queued requests of each rank.
	Queued map[string]int `json:"queued"`
	// Unconfirmed is the number of answers that wait for a majority's confirmation.
	Unconfirmed int `json:"held"`
	// WaitingReads is the number of reads that wait until the replica has applied
	// enough of the log.
	WaitingReads int `json:"waiting"`
}

// Dump implements duty.Handler.
func (o *Owner) Dump() any {
	reports := []Report{}
	for _, se := range o.endpoints {
		reports = append(reports, se.report())
	}
	return reports
}

func (se *servedEndpoint) report() Report {
	r := Report{
		Endpoint:     string(se.spec.ID),
		Owned:        se.owned,
		Primary:      string(se.primary.Endpoint),
		Term:         uint64(se.primary.Term),
		Applied:      se.state.Applied.String(),
		Connections:  map[string]int{},
		Running:      len(se.running),
		Queued:       map[string]int{},
		Unconfirmed:  len(se.unconfirmed),
		WaitingReads: len(se.waitingReads),
	}
	for _, e := range se.pool.Connections() {
		r.Connections[e.State.String()]++
	}
	for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
		r.Queued[rank.String()] = se.queue.Depth(rank)
	}
	return r
}
