package endpoint

import (
	"rosemarylb"
)

// DeskReport is one endpoint's part of a dump.
type DeskReport struct {
	// Endpoint names the endpoint.
	Endpoint string `json:"endpoint"`
	// Owned is true when this instance owns it.
	Owned bool `json:"owned"`
	// Primary is the known primary of its database, and Term its term.
	Primary string `json:"primary"`
	// Term is the known term.
	Term uint64 `json:"term"`
	// Applied is the endpoint's last known position.
	Applied string `json:"applied"`
	// Connections counts the connections by state.
	Connections map[string]int `json:"connections"`
	// Running is how many requests it works on.
	Running int `json:"running"`
	// Queued counts the waiting requests by rank.
	Queued map[string]int `json:"queued"`
	// Held is how many answers wait for a confirmation.
	Held int `json:"held"`
	// Waiting is how many reads wait for the replica.
	Waiting int `json:"waiting"`
}

// Dump implements duty.Handler.
func (o *Owner) Dump() any {
	reports := []DeskReport{}
	for _, k := range o.desks {
		reports = append(reports, k.report())
	}
	return reports
}

func (d *desk) report() DeskReport {
	r := DeskReport{
		Endpoint:    string(d.spec.ID),
		Owned:       d.owned,
		Primary:     string(d.primary.Endpoint),
		Term:        uint64(d.primary.Term),
		Applied:     d.state.Applied.String(),
		Connections: map[string]int{},
		Running:     len(d.running),
		Queued:      map[string]int{},
		Held:        len(d.held),
		Waiting:     len(d.waiting),
	}
	for _, e := range d.pool.Connections() {
		r.Connections[e.State.String()]++
	}
	for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
		r.Queued[rank.String()] = d.queue.Depth(rank)
	}
	return r
}
