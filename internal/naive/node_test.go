package naive_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/naive"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return listener
}

func TestNodeRetriesServerErrorThreeTimes(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	var calls atomic.Int64
	healthy := atomic.Bool{}
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, call *http.Request) {
		calls.Add(1)
		if !healthy.Load() {
			writer.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = io.Copy(writer, call.Body)
	}))
	defer target.Close()

	node := &naive.Node{Target: target.Listener.Addr().String(), Outbound: listen(t), Inbound: listen(t), Connections: 10}
	node.Peers = naive.Peers{"agenda": {node.Inbound.Addr().String()}}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- node.Run(ctx) }()

	send := func() int {
		call, err := http.NewRequest("POST", "http://"+node.Outbound.Addr().String()+"/visits", http.NoBody)
		expect(err).NotTo(gomega.HaveOccurred())
		call.Host = "agenda"
		response, err := http.DefaultClient.Do(call)
		expect(err).NotTo(gomega.HaveOccurred())
		expect(response.Body.Close()).To(gomega.Succeed())
		return response.StatusCode
	}
	expect(send()).To(gomega.Equal(http.StatusInternalServerError))
	expect(calls.Load()).To(gomega.Equal(int64(4)))
	healthy.Store(true)
	expect(send()).To(gomega.Equal(http.StatusOK))
	expect(calls.Load()).To(gomega.Equal(int64(5)))
	http.DefaultClient.CloseIdleConnections()
	cancel()
	expect(<-stopped).To(gomega.Succeed())
}
