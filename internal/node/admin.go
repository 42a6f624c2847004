package node

import (
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// AdminHandler serves /metrics, /healthz and /readyz.
func (node *Node) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", node.serveMetrics)
	mux.HandleFunc("GET /healthz", ServeHealth)
	mux.HandleFunc("GET /readyz", node.serveReady)
	return mux
}

func (node *Node) serveMetrics(writer http.ResponseWriter, _ *http.Request) {
	node.WriteMetrics(writer)
	metrics.WriteProcessMetrics(writer)
}

// WriteMetrics writes the node's own metrics in the Prometheus text format.
func (node *Node) WriteMetrics(output io.Writer) {
	node.counters.set.WritePrometheus(output)
}

// ServeHealth answers 200 as long as the process runs.
func ServeHealth(writer http.ResponseWriter, _ *http.Request) {
	_, _ = writer.Write([]byte("ok\n"))
}

// Ready reports whether callers may send work to this node: it has a configuration
// and does not drain.
func (node *Node) Ready() bool {
	return !node.draining() && node.Configuration.Current().Version != 0
}

func (node *Node) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if node.draining() {
		http.Error(writer, "draining", http.StatusServiceUnavailable)
		return
	}
	if node.Configuration.Current().Version == 0 {
		http.Error(writer, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("ready\n"))
}
