package node_test

import (
	"io"
	"net/http"
	"testing"
)

func answerSmall(writer http.ResponseWriter, _ *http.Request) {
	_, _ = writer.Write([]byte("checklist"))
}

func benchmarkCalls(b *testing.B, base, host string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.ReportAllocs()
	for b.Loop() {
		outgoing, _ := http.NewRequestWithContext(b.Context(), http.MethodGet, base+"/visits/7/checklist", nil)
		outgoing.Host = host
		answer, err := client.Do(outgoing)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			b.Fatal(answer.Status)
		}
	}
}

func BenchmarkDirect(b *testing.B) {
	server := startHost(b, "one", "agenda", http.HandlerFunc(answerSmall))
	benchmarkCalls(b, "http://"+server.node.Target.Address, "agenda")
}

func BenchmarkThroughTwoNodes(b *testing.B) {
	entry := startHost(b, "one", "consumo", http.NotFoundHandler())
	target := startHost(b, "two", "agenda", http.HandlerFunc(answerSmall))
	connectHosts(entry, target)
	benchmarkCalls(b, entry.callers, "agenda")
}
