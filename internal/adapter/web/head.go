package web

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
)

// errMalformedHead means that a response is none of HTTP/1, or has a head that readers take in
// different ways. Nothing of it is passed on.
var errMalformedHead = errors.New("the head of the response is malformed")

// maxStatus is the largest status of HTTP.
const maxStatus = 599

// checkHead checks what [http.ReadResponse] takes though it is no response of HTTP/1. That
// function returns no body for a status below 200, and would read one as the next head.
func checkHead(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return fmt.Errorf("%w: version %s", errMalformedHead, response.Proto)
	case response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus:
		return fmt.Errorf("%w: status %d", errMalformedHead, response.StatusCode)
	case response.StatusCode < http.StatusOK && hasBody(response):
		return fmt.Errorf("%w: an interim response with a body", errMalformedHead)
	}
	for name := range response.Header {
		if err := checkName(name); err != nil {
			return err
		}
	}
	return nil
}

// checkName refuses a header name with a blank, the only byte outside a token that net/http
// takes. It would ignore "Content-Length : 2", which others obey, so the body is in doubt.
func checkName(name string) error {
	if strings.Contains(name, " ") {
		return fmt.Errorf("%w: header name %q", errMalformedHead, name)
	}
	return nil
}

// hasBody reports whether a head announces a body, whether or not its status allows one.
func hasBody(response *http.Response) bool {
	length := response.Header.Get("Content-Length")
	return len(response.TransferEncoding) > 0 || length != "" && length != "0"
}

// CheckAnswer returns an error if a peer passes on an answer that is none of HTTP. A server of
// net/http follows a status below 200 with another of 200, and cannot write one above 999.
func CheckAnswer(answer *peerpb.AnswerHeader) error {
	status := answer.GetStatus()
	isRefusal := answer.GetCode() != 0
	if !isRefusal && (status < http.StatusOK || status > maxStatus) {
		return fmt.Errorf("%w: status %d", errMalformedHead, status)
	}
	for _, header := range answer.GetHeaders() {
		if err := checkName(header.GetName()); err != nil {
			return err
		}
	}
	return nil
}
