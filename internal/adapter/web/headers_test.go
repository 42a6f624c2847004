package web_test

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
)

// End-to-end headers keep all their values on the way between nodes; hop-by-hop
// headers are dropped.
func TestHeadersRoundTripBetweenNodes(t *testing.T) {
	cases := []struct {
		name    string
		sent    http.Header
		present http.Header
		want    http.Header
	}{
		{"none", http.Header{}, http.Header{}, http.Header{}},
		{"several, with several values", http.Header{"Accept": {"a", "b", "c"}, "Etag": {"x"}, "Cookie": {"1", "2"}}, http.Header{}, http.Header{"Accept": {"a", "b", "c"}, "Etag": {"x"}, "Cookie": {"1", "2"}}},
		{"added to others", http.Header{"Etag": {"x"}}, http.Header{"Etag": {"w"}, "Vary": {"v"}}, http.Header{"Etag": {"w", "x"}, "Vary": {"v"}}},
		{"hop-by-hop", http.Header{"Connection": {"close, X-Mine"}, "X-Mine": {"1"}, "Keep-Alive": {"timeout=5"}, "Etag": {"x"}}, http.Header{}, http.Header{"Etag": {"x"}}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			headers := test.present
			web.DecodeHeaders(headers, web.EncodeHeaders(test.sent))
			gomega.NewWithT(t).Expect(headers).To(gomega.Equal(test.want))
			headers.Add("Etag", "later")
			headers.Add("Accept", "later")
			gomega.NewWithT(t).Expect(headers["Cookie"]).To(gomega.Equal(test.want["Cookie"]), "appending to one header does not overwrite a value of another")
		})
	}
}
