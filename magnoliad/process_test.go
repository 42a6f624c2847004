package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/loopback"
	"github.com/magnoliawall/magnoliawall/internal/settings"
)

// waitTimeout bounds the wait for a condition. No check depends on how soon the
// condition is met.
const waitTimeout = 2 * time.Minute

var programPath string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "magnoliad")
	if err != nil {
		panic(err)
	}
	programPath = filepath.Join(folder, "magnoliad")
	if output, err := exec.Command("go", "build", "-o", programPath, ".").CombinedOutput(); err != nil {
		panic(string(output))
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// testDaemon is a real magnoliad process and its addresses.
type testDaemon struct {
	listen       settings.Listen
	settingsPath string
	command      *exec.Cmd
	exited       chan error
}

// testListen returns the addresses of one process.
func testListen(t *testing.T) settings.Listen {
	t.Helper()
	host, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	address := func(port string) settings.Address { return settings.Address(net.JoinHostPort(host, port)) }
	return settings.Listen{Callers: address("7401"), Outbound: address("7402"), Peers: address("7403"), Admin: address("7404")}
}

// newReplicaDaemon writes the settings of a process that holds the only replica and
// serves a target of evidencia.
func newReplicaDaemon(t *testing.T, target http.Handler) *testDaemon {
	t.Helper()
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	folder := t.TempDir()
	configuration, err := filepath.Abs("../examples/gota-justa.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	listen := testListen(t)
	daemon := &testDaemon{listen: listen, settingsPath: filepath.Join(folder, "node.jsonc")}
	text, err := json.Marshal(map[string]any{
		"node": "one", "region": "norte", "failure-domain": "norte-a",
		"service": "evidencia", "target": server.Listener.Addr().String(),
		"listen":      listen,
		"data-folder": "data",
		"replica": map[string]any{
			"members":               []map[string]string{{"node": "one", "address": string(listen.Peers), "failure-domain": "norte-a"}},
			"initial-configuration": configuration,
		},
		"security": map[string]bool{"plaintext-on-loopback": true},
	})
	if err == nil {
		err = os.WriteFile(daemon.settingsPath, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	return daemon
}

func (daemon *testDaemon) startAndWait(t *testing.T) {
	t.Helper()
	daemon.startProcess(t, os.Stderr)
	daemon.awaitReadyStatus(t, http.StatusOK)
}

// awaitKnownTarget waits until the node knows its target. A process is ready as soon as it
// has a configuration, and refuses calls with no-target until then.
func (daemon *testDaemon) awaitKnownTarget(t *testing.T) {
	t.Helper()
	gomega.NewWithT(t).Eventually(func() string { return daemon.getAdmin(t, "/metrics") }).WithTimeout(waitTimeout).
		Should(gomega.ContainSubstring("magnoliawall_node_known_targets 1\n"))
}

// awaitReadyStatus waits until the readiness check has the status. It fails at once if
// the process ends.
func (daemon *testDaemon) awaitReadyStatus(t *testing.T, status int) {
	t.Helper()
	gomega.NewWithT(t).Eventually(func() (int, error) {
		select {
		case err := <-daemon.exited:
			return 0, gomega.StopTrying("the process ended").Wrap(err)
		default:
			return daemon.readyStatus(), nil
		}
	}).WithTimeout(waitTimeout).Should(gomega.Equal(status))
}

// startProcess starts the process without waiting until it is ready.
func (daemon *testDaemon) startProcess(t *testing.T, output io.Writer) {
	t.Helper()
	daemon.command = exec.Command(programPath, "run", daemon.settingsPath)
	daemon.command.Stdout, daemon.command.Stderr = output, output
	if err := daemon.command.Start(); err != nil {
		t.Fatal(err)
	}
	daemon.exited = make(chan error, 1)
	process, exited := daemon.command, daemon.exited
	go func() { exited <- process.Wait() }()
	t.Cleanup(func() { _ = process.Process.Kill() })
}

// readyStatus returns the HTTP status of the readiness check, or zero if the
// process does not respond.
func (daemon *testDaemon) readyStatus() int {
	answer, err := http.Get("http://" + string(daemon.listen.Admin) + "/readyz")
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

func (daemon *testDaemon) operatorClient() *operator.Client {
	return &operator.Client{Base: "http://" + string(daemon.listen.Admin), HTTP: http.DefaultClient}
}

func (daemon *testDaemon) createPatch(t *testing.T, number int) operator.PatchOutcome {
	t.Helper()
	outcome, err := operator.Call[operator.PatchOutcome](t.Context(), daemon.operatorClient(), operator.CreatePatch, operator.Patch{
		ID: fmt.Sprintf("patch-%d", number), Base: 1, Operator: "ines",
		Operations: json.RawMessage(`[{"op":"replace","path":"/services/agenda/kinds/day/deadline","value":"2500ms"}]`),
	})
	if err != nil {
		t.Fatal(err)
	}
	return outcome
}

// uploadTest is the upload of a photo of 20 MB through a real process. The target has
// read a quarter of it.
type uploadTest struct {
	daemon  *testDaemon
	photo   []byte
	writer  *io.PipeWriter
	answers chan uploadAnswer
}

type uploadAnswer struct {
	content string
	err     error
}

func startUpload(t *testing.T) *uploadTest {
	t.Helper()
	uploadStarted := make(chan struct{})
	upload := &uploadTest{photo: bytes.Repeat([]byte("meter pit "), 2<<20), answers: make(chan uploadAnswer, 1)}
	quarter := len(upload.photo) / 4
	upload.daemon = newReplicaDaemon(t, http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		_, _ = io.CopyN(io.Discard, incoming.Body, int64(quarter))
		close(uploadStarted)
		rest, _ := io.Copy(io.Discard, incoming.Body)
		_, _ = fmt.Fprint(writer, int(rest)+quarter)
	}))
	upload.daemon.startAndWait(t)
	upload.daemon.awaitKnownTarget(t)
	var body io.ReadCloser
	body, upload.writer = io.Pipe()
	outgoing, _ := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+string(upload.daemon.listen.Callers)+"/claims/7/photos/3", body)
	outgoing.Host = "evidencia"
	outgoing.ContentLength = int64(len(upload.photo))
	go func() { upload.answers <- readUploadAnswer(outgoing) }()
	_, err := upload.writer.Write(upload.photo[:len(upload.photo)/2])
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	<-uploadStarted
	return upload
}

func readUploadAnswer(outgoing *http.Request) uploadAnswer {
	answer, err := http.DefaultClient.Do(outgoing)
	if err != nil {
		return uploadAnswer{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return uploadAnswer{string(content), err}
}

// expectDrains sends SIGTERM to the process and waits until it drains.
func (upload *uploadTest) expectDrains(t *testing.T) {
	t.Helper()
	g := gomega.NewWithT(t)
	g.Expect(upload.daemon.command.Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
	upload.daemon.awaitReadyStatus(t, http.StatusServiceUnavailable)
}

// expectCompletes sends the rest of the photo. The whole of it must arrive before the
// process exits with 0.
func (upload *uploadTest) expectCompletes(t *testing.T) {
	t.Helper()
	g := gomega.NewWithT(t)
	if _, err := upload.writer.Write(upload.photo[len(upload.photo)/2:]); err != nil {
		t.Fatalf("the upload ended before its body: %v; its answer: %+v", err, <-upload.answers)
	}
	g.Expect(upload.writer.Close()).To(gomega.Succeed())
	answer := <-upload.answers
	g.Expect(answer.err).NotTo(gomega.HaveOccurred())
	g.Expect(answer.content).To(gomega.Equal(fmt.Sprint(len(upload.photo))))
	g.Eventually(upload.daemon.exited).WithTimeout(waitTimeout).Should(gomega.Receive(gomega.BeNil()))
}

// TestGracefulStopCompletesUpload guards against a planned stop that cuts an upload.
func TestGracefulStopCompletesUpload(t *testing.T) {
	upload := startUpload(t)
	upload.expectDrains(t)
	upload.expectCompletes(t)
}

// TestRepeatedStopSignalCutsNoUpload guards against a supervisor that repeats SIGTERM, or
// reloads the settings, while the process drains.
func TestRepeatedStopSignalCutsNoUpload(t *testing.T) {
	g := gomega.NewWithT(t)
	upload := startUpload(t)
	upload.expectDrains(t)
	for _, repeated := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
		g.Expect(upload.daemon.command.Process.Signal(repeated)).To(gomega.Succeed())
		upload.daemon.awaitReadyStatus(t, http.StatusServiceUnavailable)
	}
	upload.expectCompletes(t)
}

// TestInterruptEndsDrain guards against a drain that an operator at a terminal cannot end.
func TestInterruptEndsDrain(t *testing.T) {
	g := gomega.NewWithT(t)
	upload := startUpload(t)
	upload.expectDrains(t)
	g.Expect(upload.daemon.command.Process.Signal(os.Interrupt)).To(gomega.Succeed())
	g.Eventually(upload.daemon.exited).WithTimeout(waitTimeout).Should(gomega.Receive(gomega.HaveOccurred()))
	g.Expect(upload.writer.Close()).To(gomega.Succeed())
}

// TestKilledProcessRecoversLatestVersion kills and restarts a real process after an
// accepted patch: it must keep the outcome of the patch and the latest version.
func TestKilledProcessRecoversLatestVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	daemon := newReplicaDaemon(t, http.NotFoundHandler())
	daemon.startAndWait(t)
	first := daemon.createPatch(t, 1)
	g.Expect(first.State).To(gomega.Equal(operator.PatchAccepted))
	for round := range 3 {
		g.Expect(daemon.command.Process.Kill()).To(gomega.Succeed())
		g.Expect(<-daemon.exited).To(gomega.HaveOccurred())
		daemon.startAndWait(t)
		g.Expect(daemon.createPatch(t, 1)).To(gomega.Equal(first), "the resend of a patch gets the outcome of the first")
		stale := daemon.createPatch(t, round+2)
		g.Expect(stale.State).To(gomega.Equal(operator.PatchStale))
		g.Expect(stale.Since).To(gomega.HaveLen(1))
		status, err := operator.Call[operator.Status](context.Background(), daemon.operatorClient(), operator.ViewStatus, operator.Done{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status.Version).To(gomega.BeEquivalentTo(2))
	}
}

// TestReplicaOnlyHostServesHealthAndMetrics checks the health checks and metrics of a
// process that holds a replica and has no target.
func TestReplicaOnlyHostServesHealthAndMetrics(t *testing.T) {
	g := gomega.NewWithT(t)
	daemon := newReplicaDaemon(t, http.NotFoundHandler())
	daemon.editSettings(t, func(fields map[string]any) {
		delete(fields, "service")
		delete(fields, "target")
		listen := fields["listen"].(map[string]any)
		delete(listen, "callers")
		delete(listen, "outbound")
	})
	daemon.startAndWait(t)
	g.Expect(daemon.getAdmin(t, "/healthz")).To(gomega.Equal("ok\n"))
	g.Eventually(func() string { return daemon.getAdmin(t, "/metrics") }).WithTimeout(waitTimeout).Should(gomega.And(
		gomega.ContainSubstring("magnoliawall_replica_version 1\n"),
		gomega.ContainSubstring("magnoliawall_replica_role{role=\"leader\"} 1\n"),
		gomega.ContainSubstring("magnoliawall_claims_in_doubt 0\n"),
		gomega.ContainSubstring("magnoliawall_registry_leases 0\n"),
	))
	g.Expect(daemon.command.Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
	g.Eventually(daemon.exited).WithTimeout(waitTimeout).Should(gomega.Receive(gomega.BeNil()))
}

// editSettings changes the settings file.
func (daemon *testDaemon) editSettings(t *testing.T, edit func(map[string]any)) {
	t.Helper()
	fields := map[string]any{}
	text, err := os.ReadFile(daemon.settingsPath)
	if err == nil {
		err = json.Unmarshal(text, &fields)
	}
	edit(fields)
	if err == nil {
		text, err = json.Marshal(fields)
	}
	if err == nil {
		err = os.WriteFile(daemon.settingsPath, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func (daemon *testDaemon) getAdmin(t *testing.T, path string) string {
	t.Helper()
	answer, err := http.Get("http://" + string(daemon.listen.Admin) + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// TestFaultyInitialConfigurationCanBeCorrected corrects the file of the first version
// while the process runs: it must read the file again.
func TestFaultyInitialConfigurationCanBeCorrected(t *testing.T) {
	g := gomega.NewWithT(t)
	daemon := newReplicaDaemon(t, http.NotFoundHandler())
	initial := filepath.Join(filepath.Dir(daemon.settingsPath), "first.jsonc")
	text, err := os.ReadFile("../examples/gota-justa.jsonc")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(os.WriteFile(initial, []byte(`{"services": {}}`), 0o600)).To(gomega.Succeed())
	daemon.editSettings(t, func(fields map[string]any) {
		fields["replica"].(map[string]any)["initial-configuration"] = initial
	})
	output := &syncBuffer{}
	daemon.startProcess(t, output)
	g.Eventually(output.contents).WithTimeout(waitTimeout).Should(gomega.ContainSubstring("the first version was not recorded"))
	g.Expect(os.WriteFile(initial, text, 0o600)).To(gomega.Succeed())
	g.Eventually(daemon.readyStatus).WithTimeout(waitTimeout).Should(gomega.Equal(http.StatusOK))
}

// syncBuffer collects the output of a process and is safe for concurrent use.
type syncBuffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

func (buffer *syncBuffer) Write(content []byte) (int, error) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.content.Write(content)
}

func (buffer *syncBuffer) contents() string {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.content.String()
}
