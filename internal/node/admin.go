package node

import (
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// AdminHandler serves /metrics, /healthz and /readyz.
func (no *Node) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", no.serveMetrics)
	mux.HandleFunc("GET /healthz", ServeHealth)
	mux.HandleFunc("GET /readyz", no.serveReady)
	return mux
}

func (no *Node) serveMetrics(writer http.ResponseWriter, _ *http.Request) {
	no.WriteMetrics(writer)
	metrics.WriteProcessMetrics(writer)
}

// WriteMetrics writes the node's own metrics.
func (no *Node) WriteMetrics(page io.Writer) {
	no.counters.set.WritePrometheus(page)
}

// ServeHealth says that the process runs.
func ServeHealth(writer http.ResponseWriter, _ *http.Request) {
	_, _ = writer.Write([]byte("ok\n"))
}

// Ready tells whether callers may send work to this node.
func (no *Node) Ready() bool {
	return !no.draining() && no.Configuration.Current().Version != 0
}

func (no *Node) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if no.draining() {
		http.Error(writer, "draining", http.StatusServiceUnavailable)
		return
	}
	if no.Configuration.Current().Version == 0 {
		http.Error(writer, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("ready\n"))
}
