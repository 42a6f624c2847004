package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// operateWithCertificateName carries out a request if the operator name in its
// body, where it has one, matches the name in the client certificate. A
// connection without a certificate may give any name.
func operateWithCertificateName(ctx context.Context, operate OperateFunc, incoming *http.Request, body []byte) (int, []byte) {
	certified, ok := certificateName(incoming)
	requested := requestedName(body)
	if ok && requested != "" && requested != certified {
		return encodeAnswer(http.StatusForbidden, Failure{Error: fmt.Sprintf(
			"the certificate belongs to %q, not to %q; give the name in the certificate or use another certificate", certified, requested)})
	}
	return operate(ctx, incoming.PathValue("verb"), body)
}

// certificateName returns the common name of the client certificate.
func certificateName(incoming *http.Request) (string, bool) {
	if incoming.TLS == nil || len(incoming.TLS.PeerCertificates) == 0 {
		return "", false
	}
	return incoming.TLS.PeerCertificates[0].Subject.CommonName, true
}

// requestedName returns the operator name in a request body, or an empty string.
func requestedName(body []byte) string {
	var message struct {
		Operator string `json:"operator"`
	}
	if json.Unmarshal(body, &message) != nil {
		return ""
	}
	return message.Operator
}
