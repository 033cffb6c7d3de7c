package hosted

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"rosemarylb/internal/process/duty"
)

// dumpTimeout bounds the report of one duty. Duties that wait for a peer
// answer only between two calls.
const dumpTimeout = 100 * time.Millisecond

// dump answers with the state of all duties.
func (i *Instance) dump(w http.ResponseWriter, r *http.Request) {
	var reports []duty.Report
	for _, d := range i.duties {
		ctx, cancel := context.WithTimeout(r.Context(), dumpTimeout)
		report, err := d.Dump(ctx)
		cancel()
		if err != nil {
			report = duty.Report{
				Duty:  d.Name(),
				State: err.Error(),
			}
		}
		reports = append(reports, report)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reports)
}
