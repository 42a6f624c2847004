package node_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/node"
)

// applyLimits puts a version in force with the given JSON text of its limits.
func applyLimits(t testing.TB, host *host, version configuration.Version, limits string) {
	t.Helper()
	routes, err := os.ReadFile("testdata/routes.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(routes), `"label":       1,`, `"label": 1, "limits": `+limits+`,`, 1)
	active, err := node.NewActiveConfiguration(version, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	host.node.Configuration.Replace(active)
}

// rawConnection is a caller's connection to which the test writes byte by byte.
type rawConnection struct {
	net.Conn
	*bufio.Reader
	expect gomega.Gomega
}

func dialRaw(t testing.TB, host *host) rawConnection {
	t.Helper()
	expect := gomega.NewWithT(t)
	connection, err := net.Dial("tcp", strings.TrimPrefix(host.callers, "http://"))
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(connection.SetDeadline(time.Now().Add(testTimeout))).To(gomega.Succeed())
	t.Cleanup(func() { _ = connection.Close() })
	return rawConnection{connection, bufio.NewReader(connection), expect}
}

func (connection rawConnection) send(text string) {
	_, err := io.WriteString(connection, text)
	connection.expect.Expect(err).NotTo(gomega.HaveOccurred())
}

func (connection rawConnection) Write(data []byte) (int, error) { return connection.Conn.Write(data) }

func (connection rawConnection) Read(data []byte) (int, error) { return connection.Reader.Read(data) }

func (connection rawConnection) status() int {
	answer, err := http.ReadResponse(connection.Reader, nil)
	connection.expect.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.Copy(io.Discard, answer.Body)
	connection.expect.Expect(err).NotTo(gomega.HaveOccurred())
	return answer.StatusCode
}

// awaitClose waits until the other side closes the connection, and returns the read
// error.
func (connection rawConnection) awaitClose() error {
	_, err := connection.ReadByte()
	return err
}

const completeCall = "GET /visits/7 HTTP/1.1\r\nHost: visits.example\r\n\r\n"

// A header that is too long or does not end in time is refused within the limits in
// force, and an idle connection is closed.
func TestConfiguredLimitsAreEnforced(t *testing.T) {
	cases := map[string]struct {
		limits string
		run    func(connection rawConnection)
	}{
		"header size": {`{"max-header": "4KiB"}`, func(connection rawConnection) {
			connection.send("GET /visits/7 HTTP/1.1\r\nHost: visits.example\r\nX-Long: " + strings.Repeat("a", 12<<10) + "\r\n\r\n")
			connection.expect.Expect(connection.status()).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
		}},
		"header timeout": {`{"header-timeout": "20ms"}`, func(connection rawConnection) {
			connection.send("GET /visits/7 HTTP/1.1\r\nHost: visits")
			connection.expect.Expect(errors.Is(connection.awaitClose(), io.EOF)).To(gomega.BeTrue())
		}},
		"idle timeout": {`{"idle-timeout": "20ms"}`, func(connection rawConnection) {
			connection.send(completeCall)
			connection.expect.Expect(connection.status()).To(gomega.Equal(http.StatusOK))
			connection.expect.Expect(errors.Is(connection.awaitClose(), io.EOF)).To(gomega.BeTrue())
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			target := startRoutedHost(t, "one", "agenda", &visits{})
			connectHosts(target)
			applyLimits(t, target, 2, test.limits)
			test.run(dialRaw(t, target))
		})
	}
}

// A connection that is open when the limits change keeps its own.
func TestOpenConnectionKeepsItsLimits(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	target := startRoutedHost(t, "one", "agenda", &visits{})
	connectHosts(target)
	before := dialRaw(t, target)
	before.send(completeCall)
	expect(before.status()).To(gomega.Equal(http.StatusOK))
	applyLimits(t, target, 2, `{"idle-timeout": "20ms"}`)
	after := dialRaw(t, target)
	after.send(completeCall)
	expect(after.status()).To(gomega.Equal(http.StatusOK))
	expect(errors.Is(after.awaitClose(), io.EOF)).To(gomega.BeTrue())
	before.send(completeCall)
	expect(before.status()).To(gomega.Equal(http.StatusOK))
}

// A stop lets calls in flight under older limits complete.
func TestStopCompletesCallsUnderOlderLimits(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	slow := &visits{serve: func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}}
	target := startRoutedHost(t, "one", "agenda", slow, func(underTest *node.Node) {
		// Both calls are at the target at once, so it needs two slots.
		underTest.TargetAnnouncesItself = true
		underTest.SetLocalTarget(node.LocalTarget{Service: "agenda", Slots: 2, Serving: true})
	})
	connectHosts(target)
	older := dialRaw(t, target)
	older.send(completeCall)
	<-arrived
	applyLimits(t, target, 2, `{"idle-timeout": "30s"}`)
	newer := dialRaw(t, target)
	newer.send(completeCall)
	<-arrived
	target.stop()
	close(release)
	expect(older.status()).To(gomega.Equal(http.StatusOK))
	expect(newer.status()).To(gomega.Equal(http.StatusOK))
}
