// Package bluebellhead reads the heads of HTTP responses and rejects those that are no HTTP.
//
// Package net/http accepts more than that: a status of 000, blanks in the name of a field, control characters in a
// value, fields that continue on the next line. Such a line can hide the length of a body, so that other bytes are
// taken for it, and a client would get it passed on. An endpoint in trouble sends such heads.
//
// # Usage
//
// On a connection that the caller reads itself:
//
//	source := bluebellhead.NewReader(conn)
//	reader := bufio.NewReader(source)
//	response, err := source.ReadResponse(reader, request)
//
// After a response of http.Client, whose head is not available any more:
//
//	response, err := client.Do(request)
//	err = bluebellhead.CheckResponse(response)
//
// The fields of a trailer are known once the body was read to its end:
//
//	err := bluebellhead.CheckFields(response.Trailer)
package bluebellhead

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// ErrMalformed is wrapped by the errors of heads that are no HTTP.
var ErrMalformed = errors.New("head of the response is malformed")

// The statuses that HTTP defines. A response that switches protocols answers a request that nobody sends here.
const (
	minStatus = 100
	maxStatus = 599
)

// Recorder keeps the bytes that are read from a connection while it reads a head. It is not safe for concurrent use.
type Recorder struct {
	recording bool
	head      []byte
}

// Record adds bytes that were read from the connection.
func (r *Recorder) Record(b []byte) {
	if r.recording {
		r.head = append(r.head, b...)
	}
}

// ReadResponse is http.ReadResponse with a check of the head. The source of reader must record what it reads.
func (r *Recorder) ReadResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	buffered, err := reader.Peek(reader.Buffered())
	if err != nil {
		return nil, err
	}
	r.recording, r.head = true, append(r.head[:0], buffered...)
	defer func() { r.recording, r.head = false, nil }()
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	return response, check(r.head[:len(r.head)-reader.Buffered()])
}

// Reader is a Recorder of what is read from a source.
type Reader struct {
	Recorder
	source io.Reader
}

// NewReader returns a Reader of a source.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Read reads from the source.
func (r *Reader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	r.Record(b[:n])
	return n, err
}

// check returns an error unless a head consists of a status line, fields and an empty line.
func check(head []byte) error {
	line, rest := cutLine(head)
	if err := checkStatusLine(line); err != nil {
		return err
	}
	lengths, encodings := 0, 0
	for {
		line, rest = cutLine(rest)
		if len(line) == 0 {
			break
		}
		name, value, found := strings.Cut(line, ":")
		if !found || !isName(name) || !isValue(value) {
			return fmt.Errorf("%w: field %.80q", ErrMalformed, line)
		}
		switch {
		case strings.EqualFold(name, "Content-Length"):
			lengths++
		case strings.EqualFold(name, "Transfer-Encoding"):
			encodings++
		}
	}
	// The end of the body would be in doubt.
	if encodings > 0 && (lengths > 0 || bytes.HasPrefix(head, []byte("HTTP/1.0"))) {
		return fmt.Errorf("%w: two lengths of the body", ErrMalformed)
	}
	return nil
}

// cutLine returns the first line without its end, and what follows it.
func cutLine(text []byte) (line string, rest []byte) {
	first, rest, _ := bytes.Cut(text, []byte("\n"))
	return string(bytes.TrimSuffix(first, []byte("\r"))), rest
}

// checkStatusLine returns an error unless a line is a status line of HTTP/1 with a status of a response.
func checkStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" || len(code) != 3 || strings.Trim(code, "0123456789") != "" || !isValue(reason) {
		return fmt.Errorf("%w: status line %.80q", ErrMalformed, line)
	}
	return checkStatus(100*int(code[0]-'0') + 10*int(code[1]-'0') + int(code[2]-'0'))
}

func checkStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %03d", ErrMalformed, status)
	}
	return nil
}

// CheckResponse returns an error if the status or a field of a response is no HTTP. Fields that net/http has joined
// from several lines are not found.
func CheckResponse(response *http.Response) error {
	if err := checkStatus(response.StatusCode); err != nil {
		return err
	}
	return errors.Join(CheckFields(response.Header), CheckFields(response.Trailer))
}

// CheckFields returns an error if a field is no HTTP.
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		if !isName(name) {
			return fmt.Errorf("%w: field %.80q", ErrMalformed, name)
		}
		for _, value := range values {
			if !isValue(value) {
				return fmt.Errorf("%w: value %.80q of field %s", ErrMalformed, value, name)
			}
		}
	}
	return nil
}

// isName reports whether a text is the name of a field: a token (RFC 9110, section 5.6.2).
func isName(text string) bool {
	for i := range len(text) {
		c := text[i]
		letterOrDigit := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letterOrDigit && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return text != ""
}

// isValue reports whether a text contains no control characters but tabs.
func isValue(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
