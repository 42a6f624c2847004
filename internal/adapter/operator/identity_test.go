package operator_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
)

func TestOperatorNameMustMatchCertificate(t *testing.T) {
	certificateOfInes := &tls.ConnectionState{PeerCertificates: []*x509.Certificate{{Subject: pkix.Name{CommonName: "ines"}}}}
	for _, test := range []struct {
		state  *tls.ConnectionState
		body   string
		status int
	}{
		{certificateOfInes, `{"operator":"ines"}`, http.StatusOK},
		{certificateOfInes, `{"operator":"joao"}`, http.StatusForbidden},
		{certificateOfInes, `{}`, http.StatusOK},
		{nil, `{"operator":"joao"}`, http.StatusOK},
	} {
		incoming := httptest.NewRequest(http.MethodPost, "/v1/create-patch", strings.NewReader(test.body))
		incoming.TLS = test.state
		recorder := httptest.NewRecorder()
		operator.Handler(func(context.Context, string, []byte) (int, []byte) {
			return http.StatusOK, []byte("{}")
		}).ServeHTTP(recorder, incoming)
		gomega.NewWithT(t).Expect(recorder.Code).To(gomega.Equal(test.status), test.body)
	}
}
