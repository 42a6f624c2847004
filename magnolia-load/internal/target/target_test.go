package target_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/answer"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

// startTarget runs a target until the test ends and returns its address.
func startTarget(t *testing.T, instance *target.Target) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	instance.Listener = listener
	instance.Slots = max(instance.Slots, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- instance.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		gomega.NewWithT(t).Expect(<-ended).To(gomega.Succeed())
	})
	return listener.Addr().String()
}

func send(method, address, path string, headers map[string]string) (int, []byte, error) {
	call, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return 0, nil, err
	}
	for name, value := range headers {
		call.Header.Set(name, value)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(call)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

func TestAnswersCompletelyAndRecordsOneRun(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	records := target.NewRecords()
	consumo := startTarget(t, &target.Target{Service: "consumo", Records: records, Behaviours: []target.Behaviour{
		{Kind: "consumo/readings", Pattern: "GET /readings/{meter}", AnswerBytes: 100},
	}})
	subsidios := startTarget(t, &target.Target{Service: "subsidios", Records: records, OutboundAddress: consumo, Behaviours: []target.Behaviour{
		{
			Kind: "subsidios/file", Pattern: "POST /subsidies", Repeat: request.Once, AnswerBytes: 200,
			Calls: []target.Call{{Service: "consumo", Method: "GET", Path: "/readings/4"}},
		},
	}})
	status, body, err := send("POST", subsidios, "/subsidies", map[string]string{
		target.NonceHeader: "n1", target.AttemptHeader: "a1", target.KeyHeader: "k1",
	})
	expect(err).NotTo(gomega.HaveOccurred())
	expect(status).To(gomega.Equal(http.StatusOK))
	expect(answer.Check(body, "n1")).To(gomega.Succeed())
	expect(records.RunCount(target.Action{Kind: "subsidios/file", Key: "k1"})).To(gomega.Equal(1))
	expect(records.CallCounts()).To(gomega.Equal(map[target.AttemptName]int{"a1": 2}))
}

func TestCrashRequestRestartsTarget(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	instance := &target.Target{Service: "agenda", Records: target.NewRecords(), Behaviours: []target.Behaviour{
		{Kind: "agenda/checklist", Pattern: "GET /checklists/{visit}"},
	}}
	address := startTarget(t, instance)
	_, _, err := send("GET", address, "/checklists/1", map[string]string{target.CrashHeader: "yes"})
	expect(err).To(gomega.HaveOccurred())
	expect(instance.Crashes()).To(gomega.Equal(1))
	gomega.NewWithT(t).Eventually(func() int {
		status, _, _ := send("GET", address, "/checklists/1", nil)
		return status
	}, 10*time.Second).Should(gomega.Equal(http.StatusOK))
}

func TestDrainingTargetRefusesNewWork(t *testing.T) {
	instance := &target.Target{Service: "agenda", Records: target.NewRecords(), Behaviours: []target.Behaviour{
		{Kind: "agenda/checklist", Pattern: "GET /checklists/{visit}"},
	}}
	address := startTarget(t, instance)
	instance.Drain()
	status, _, err := send("GET", address, "/checklists/1", nil)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	gomega.NewWithT(t).Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
}

func TestRequestEndsAtDeadlineAndRecordsWork(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	records := target.NewRecords()
	instance := &target.Target{Service: "agenda", Records: records, Behaviours: []target.Behaviour{
		{Kind: "agenda/checklist", Pattern: "GET /checklists/{visit}", ServiceTime: target.ServiceTime{Mean: time.Hour}},
	}}
	address := startTarget(t, instance)
	status, _, err := send("GET", address, "/checklists/1", map[string]string{target.DeadlineHeader: "1ms"})
	expect(err).NotTo(gomega.HaveOccurred())
	expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	expect(records.WorkTimes()).To(gomega.HaveLen(1))
}
