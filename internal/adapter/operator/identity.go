package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// operateAs carries out a request whose operator's name, where it has one, is
// that of the certificate. Without a certificate the name is taken as it is.
func operateAs(ctx context.Context, operate Operate, incoming *http.Request, body []byte) (int, []byte) {
	proved, ok := provedName(incoming)
	told := toldName(body)
	if ok && told != "" && told != proved {
		return encode(http.StatusForbidden, Failure{Error: fmt.Sprintf(
			"the certificate is of %q and not of %q; give your own name or use your own certificate", proved, told)})
	}
	return operate(ctx, incoming.PathValue("verb"), body)
}

func provedName(incoming *http.Request) (string, bool) {
	if incoming.TLS == nil || len(incoming.TLS.PeerCertificates) == 0 {
		return "", false
	}
	return incoming.TLS.PeerCertificates[0].Subject.CommonName, true
}

// toldName gives the operator's name in a request, or nothing.
func toldName(body []byte) string {
	var message struct {
		Operator string `json:"operator"`
	}
	if json.Unmarshal(body, &message) != nil {
		return ""
	}
	return message.Operator
}
