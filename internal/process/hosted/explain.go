package hosted

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"rosemarylb"
	"rosemarylb/internal/traffic/explanation"
	"rosemarylb/internal/traffic/proxy"
)

// explainTimeout is the maximum time to wait for an explanation of the proxy, which
// answers after the events that are before it in its ring.
const explainTimeout = time.Second

// handleExplain responds with where a request would go, as JSON. It responds with status
// 400 to an invalid request, and 503 if the proxy does not answer in time.
func (i *Instance) handleExplain(w http.ResponseWriter, r *http.Request) {
	request, err := parseExplainRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	replies := make(chan explanation.Explanation, 1)
	if !i.proxy.Ring().Offer(proxy.ExplanationRequested{
		Request: request,
		Reply:   replies,
	}) {
		http.Error(w, "the proxy's ring is full", http.StatusServiceUnavailable)
		return
	}
	timer := time.NewTimer(explainTimeout)
	defer timer.Stop()
	select {
	case e := <-replies:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(e)
	case <-timer.C:
		http.Error(w, "the proxy did not answer in time", http.StatusServiceUnavailable)
	case <-r.Context().Done():
	}
}

// parseExplainRequest returns the request in the parameters database, team, kind and
// floor.
func parseExplainRequest(v url.Values) (explanation.Request, error) {
	kind, err := explanation.ParseKind(v.Get("kind"))
	if err != nil {
		return explanation.Request{}, err
	}
	floor, err := explanation.ParseFloor(v.Get("floor"))
	if err != nil {
		return explanation.Request{}, err
	}
	return explanation.Request{
		Database: v.Get("database"),
		Team:     rosemarylb.TeamName(v.Get("team")),
		Kind:     kind,
		Floor:    floor,
	}, nil
}
