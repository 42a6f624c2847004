package web_test

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/tailscale/hujson"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
)

// answerHead is one line of testdata/answer-heads.jsonc.
type answerHead struct {
	Name    string            `json:"name"`
	Answer  string            `json:"answer"`
	Status  int               `json:"status"`
	Body    string            `json:"body"`
	Headers map[string]string `json:"headers"`
}

func readAnswerHeads(t *testing.T) []answerHead {
	t.Helper()
	text, err := os.ReadFile("testdata/answer-heads.jsonc")
	if err == nil {
		text, err = hujson.Standardize(text)
	}
	var heads []answerHead
	if err == nil {
		err = json.Unmarshal(text, &heads)
	}
	if err != nil {
		t.Fatal(err)
	}
	return heads
}

// Guards against heads that are no HTTP/1 answers and are passed on, or are read in another
// way than their target meant: the body of one is then taken for the next (MIXED).
func TestHeadThatIsNoAnswerIsRefused(t *testing.T) {
	for _, head := range readAnswerHeads(t) {
		for place, before := range map[string][]string{"new connection": nil, "kept connection": {okHeader + "\r\nok"}} {
			t.Run(head.Name+", "+place, func(t *testing.T) {
				expect := gomega.NewWithT(t).Expect
				target := startScriptedTarget(t, append(before, head.Answer+"<close>")...)
				client := target.client(nil)
				for range before {
					_, err := sendAndReadBody(client, newCall(http.MethodGet, "/before", ""))
					expect(err).NotTo(gomega.HaveOccurred())
				}
				response, err := client.Send(t.Context(), newCall(http.MethodGet, "/a", ""))
				if head.Status == 0 {
					sent := &web.SentError{}
					expect(errors.As(err, &sent)).To(gomega.BeTrue(), "%v", err)
					return
				}
				expect(err).NotTo(gomega.HaveOccurred())
				defer func() { _ = response.Body.Close() }()
				body, err := io.ReadAll(response.Body)
				expect(err).NotTo(gomega.HaveOccurred())
				expect(response.StatusCode).To(gomega.Equal(head.Status))
				expect(string(body)).To(gomega.Equal(head.Body))
				for name, value := range head.Headers {
					expect(response.Header.Get(name)).To(gomega.Equal(value), name)
				}
			})
		}
	}
}

// A long head is taken in HTTP/1.1. In HTTP/1.0 it is refused, as it cannot be looked through.
func TestLongHeadOfOldVersionIsRefused(t *testing.T) {
	for version, taken := range map[string]bool{"HTTP/1.1": true, "HTTP/1.0": false} {
		t.Run(version, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			target := startScriptedTarget(t, version+" 200 OK\r\nX-Y: "+strings.Repeat("1", 8<<10)+"\r\nContent-Length: 2\r\n\r\nok<close>")
			body, err := sendAndReadBody(target.client(nil), newCall(http.MethodGet, "/a", ""))
			if taken {
				expect(err).NotTo(gomega.HaveOccurred())
				expect(body).To(gomega.Equal("ok"))
				return
			}
			sent := &web.SentError{}
			expect(errors.As(err, &sent)).To(gomega.BeTrue(), "%v", err)
		})
	}
}
