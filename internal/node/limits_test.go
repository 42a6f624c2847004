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

// limited puts a version in force whose limits are written as given.
func limited(t testing.TB, ho *host, version configuration.Version, limits string) {
	t.Helper()
	routes, err := os.ReadFile("testdata/routes.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(routes), `"label":       1,`, `"label": 1, "limits": `+limits+`,`, 1)
	active, err := node.NewActive(version, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	ho.node.Configuration.Replace(active)
}

// raw is a caller's connection that the test writes to byte by byte.
type raw struct {
	net.Conn
	*bufio.Reader
	expect gomega.Gomega
}

func dialRaw(t testing.TB, ho *host) raw {
	t.Helper()
	expect := gomega.NewWithT(t)
	connection, err := net.Dial("tcp", strings.TrimPrefix(ho.callers, "http://"))
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(connection.SetDeadline(time.Now().Add(wait))).To(gomega.Succeed())
	t.Cleanup(func() { _ = connection.Close() })
	return raw{connection, bufio.NewReader(connection), expect}
}

func (ra raw) send(text string) {
	_, err := io.WriteString(ra, text)
	ra.expect.Expect(err).NotTo(gomega.HaveOccurred())
}

func (ra raw) Write(data []byte) (int, error) { return ra.Conn.Write(data) }

func (ra raw) Read(data []byte) (int, error) { return ra.Reader.Read(data) }

func (ra raw) status() int {
	answer, err := http.ReadResponse(ra.Reader, nil)
	ra.expect.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.Copy(io.Discard, answer.Body)
	ra.expect.Expect(err).NotTo(gomega.HaveOccurred())
	return answer.StatusCode
}

// closed waits until the other side ends the connection, and tells how.
func (ra raw) closed() error {
	_, err := ra.ReadByte()
	return err
}

const wholeCall = "GET /visits/7 HTTP/1.1\r\nHost: visits.example\r\n\r\n"

// A header that is too long, and one that does not come to its end, are turned
// away within the limits in force; a connection that nobody uses is closed.
func TestLimitsOfTheConfigurationHold(t *testing.T) {
	cases := map[string]struct {
		limits string
		play   func(ra raw)
	}{
		"size": {`{"max-header": "4KiB"}`, func(ra raw) {
			ra.send("GET /visits/7 HTTP/1.1\r\nHost: visits.example\r\nX-Long: " + strings.Repeat("a", 12<<10) + "\r\n\r\n")
			ra.expect.Expect(ra.status()).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
		}},
		"time": {`{"header-timeout": "20ms"}`, func(ra raw) {
			ra.send("GET /visits/7 HTTP/1.1\r\nHost: visits")
			ra.expect.Expect(errors.Is(ra.closed(), io.EOF)).To(gomega.BeTrue())
		}},
		"idle": {`{"idle-timeout": "20ms"}`, func(ra raw) {
			ra.send(wholeCall)
			ra.expect.Expect(ra.status()).To(gomega.Equal(http.StatusOK))
			ra.expect.Expect(errors.Is(ra.closed(), io.EOF)).To(gomega.BeTrue())
		}},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			target := startRouted(t, "one", "agenda", &visits{})
			connect(target)
			limited(t, target, 2, one.limits)
			one.play(dialRaw(t, target))
		})
	}
}

// A connection that is open when the limits change serves on under its own.
func TestAnOpenConnectionKeepsItsLimits(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	target := startRouted(t, "one", "agenda", &visits{})
	connect(target)
	before := dialRaw(t, target)
	before.send(wholeCall)
	expect(before.status()).To(gomega.Equal(http.StatusOK))
	limited(t, target, 2, `{"idle-timeout": "20ms"}`)
	after := dialRaw(t, target)
	after.send(wholeCall)
	expect(after.status()).To(gomega.Equal(http.StatusOK))
	expect(errors.Is(after.closed(), io.EOF)).To(gomega.BeTrue())
	before.send(wholeCall)
	expect(before.status()).To(gomega.Equal(http.StatusOK))
}

// What is in flight under older limits is served to its end by a stop.
func TestAStopLetsCallsUnderOlderLimitsEnd(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	arrived, leave := make(chan struct{}, 2), make(chan struct{})
	slow := &visits{serve: func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-leave
	}}
	target := startRouted(t, "one", "agenda", slow, func(no *node.Node) {
		// Both calls are at the target at once, so it needs two slots from the start.
		no.Announced = true
		no.SetLocal(node.LocalTarget{Service: "agenda", Slots: 2, Serving: true})
	})
	connect(target)
	older := dialRaw(t, target)
	older.send(wholeCall)
	<-arrived
	limited(t, target, 2, `{"idle-timeout": "30s"}`)
	newer := dialRaw(t, target)
	newer.send(wholeCall)
	<-arrived
	target.stop()
	close(leave)
	expect(older.status()).To(gomega.Equal(http.StatusOK))
	expect(newer.status()).To(gomega.Equal(http.StatusOK))
}
