package web

import (
	"bufio"
	"bytes"
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

// readHead reads the head of a response and refuses one that is malformed.
func readHead(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	if err := checkEncoding(reader); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	return response, checkHead(response)
}

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

// oldVersion begins the responses of HTTP/1.0, which knows no chunks.
const oldVersion = "HTTP/1.0 "

// checkEncoding refuses a response of HTTP/1.0 with a Transfer-Encoding, whose framing is faulty
// by RFC 9112. [http.ReadResponse], which reads the head after it, drops that header.
func checkEncoding(reader *bufio.Reader) error {
	head, err := reader.Peek(len(oldVersion))
	if err != nil || string(head) != oldVersion {
		return err
	}
	end := headEnd(head)
	for ; end < 0; end = headEnd(head) {
		if _, err := reader.Peek(len(head) + 1); errors.Is(err, bufio.ErrBufferFull) {
			return fmt.Errorf("%w: of HTTP/1.0, and too long to be checked", errMalformedHead)
		} else if err != nil {
			return err
		}
		if head, err = reader.Peek(reader.Buffered()); err != nil {
			return err
		}
	}
	for line := range bytes.Lines(head[:end]) {
		if name, _, _ := bytes.Cut(line, []byte(":")); bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return fmt.Errorf("%w: a transfer encoding in HTTP/1.0", errMalformedHead)
		}
	}
	return nil
}

// headEnd returns where the lines of a head end, or -1.
func headEnd(data []byte) int {
	crlf, bare := bytes.Index(data, []byte("\n\r\n")), bytes.Index(data, []byte("\n\n"))
	if crlf < 0 || bare < 0 {
		return max(crlf, bare)
	}
	return min(crlf, bare)
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
