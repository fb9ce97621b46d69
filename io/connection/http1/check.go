package http1

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

const (
	// lowestStatus and highestStatus are the bounds of the statuses that RFC 9110 defines.
	lowestStatus  = 100
	highestStatus = 599
)

// Check returns an error if the head of a response that net/http has read is malformed.
func Check(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return malformed(BadStatusLine, "version", resp.Proto)
	}
	if err := checkStatus(resp.StatusCode, resp.Status); err != nil {
		return err
	}
	return checkNames(resp.Header)
}

// ReadAll returns the body of a response that net/http has read, of at most maxBytes, unless the head is malformed.
// The caller closes the body.
func ReadAll(resp *http.Response, maxBytes int64) ([]byte, error) {
	if err := Check(resp); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err == nil && int64(len(body)) > maxBytes {
		return nil, &Error{Op: "read", Kind: TooLarge, Err: fmt.Errorf("the body exceeds %d bytes", maxBytes)}
	}
	return body, err
}

func checkStatus(status int, text string) error {
	if status < lowestStatus || status > highestStatus || strings.ContainsFunc(text, isControl) {
		return malformed(BadStatusLine, "status", text)
	}
	return nil
}

func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// checkNames returns an error unless the names of all fields are tokens. textproto takes names with blanks.
func checkNames(fields map[string][]string) error {
	for name := range fields {
		if !isToken(name) {
			return malformed(BadField, "name", name)
		}
	}
	return nil
}

func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

func isTokenByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
