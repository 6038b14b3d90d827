package entry

import (
	"encoding/json"
	"expvar"
	"net/http"
)

// DebugHandler serves the host's internal listener: the decisions of one
// request, the counters and the health check.
func (s *Server) DebugHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/explain", s.serveExplain)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { s.serveHealth(w) })
	return mux
}

func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("request")
	if id == "" || s.opts.Decisions == nil {
		http.Error(w, "name a request identifier as ?request=ID", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.opts.Decisions.Find(id))
}
