package hosted

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"rosemarylb/internal/process/duty"
)

// dumpTimeout is the maximum time to wait for the report of one duty. A duty that
// blocks on a call to a peer reports only after the call.
const dumpTimeout = 100 * time.Millisecond

// handleDump responds with the reports of all duties as JSON. A duty that does
// not report in time is listed with the error as its state.
func (i *Instance) handleDump(w http.ResponseWriter, r *http.Request) {
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
