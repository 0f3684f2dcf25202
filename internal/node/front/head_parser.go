package front

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// headSizeSlack is how far a head may exceed the configured maximum. net/http.Server allows the
// same.
const headSizeSlack = 4096

const (
	// maxHeadFields limits the fields of a head: a parsed field takes many times the bytes of a short one.
	maxHeadFields     = 128
	parsedFieldBytes  = 64 // of a field in a parsed head, without its text
	parsedTextCopies  = 2  // copies of a head's text that its parsed form may hold
	linesWithoutField = 2  // the request line and the empty line
)

// headFields returns the number of fields in a complete head. Lines that continue a field count as fields.
func headFields(head []byte) int { return bytes.Count(head, []byte{'\n'}) - linesWithoutField }

// parsedHeadBytes returns about how many bytes the parsed form of a head takes.
func parsedHeadBytes(head []byte) int {
	return parsedTextCopies*len(head) + parsedFieldBytes*headFields(head)
}

// headParser parses request heads with net/http's parser and reuses its buffers.
type headParser struct {
	bytes  bytes.Reader
	reader *bufio.Reader
}

// requestError is an error caused by the client, with the response status for it.
type requestError struct {
	status int
	text   string
}

func (f *requestError) Error() string { return f.text }

// headEnd returns the position behind the head at the start of data, that is, behind its first
// empty line. Lines end with LF or CRLF, as in net/textproto. The search starts at from, which is
// the next of an earlier call. If the head is incomplete, end is 0.
func headEnd(data []byte, from int) (end, next int) {
	for at := from; ; {
		n := bytes.IndexByte(data[at:], '\n')
		if n < 0 {
			return 0, max(from, len(data)-2)
		}
		at += n + 1
		switch {
		case at < len(data) && data[at] == '\n':
			return at + 1, 0
		case at+1 < len(data) && data[at] == '\r' && data[at+1] == '\n':
			return at + 2, 0
		case at+1 >= len(data):
			return 0, at - 1
		}
	}
}

// parseHead parses data, which must be one complete head and nothing else.
func (p *headParser) parseHead(data []byte) (*http.Request, *requestError) {
	if headFields(data) > maxHeadFields {
		return nil, &requestError{http.StatusRequestHeaderFieldsTooLarge, "the head has too many fields"}
	}
	if p.reader == nil {
		p.reader = bufio.NewReader(nil)
	}
	p.bytes.Reset(data)
	p.reader.Reset(&p.bytes)
	r, err := http.ReadRequest(p.reader)
	if err != nil {
		return nil, &requestError{http.StatusBadRequest, "malformed request: " + quoteError(err)}
	}
	switch {
	case p.reader.Buffered()+p.bytes.Len() > 0: // net/http found another end of the head than headEnd did
		return nil, &requestError{http.StatusBadRequest, "malformed request: its head has two ends"}
	case r.ProtoMajor != 1:
		return nil, &requestError{http.StatusHTTPVersionNotSupported, "unsupported protocol version"}
	case r.Host == "" && r.ProtoAtLeast(1, 1) && !hasHost(data):
		return nil, &requestError{http.StatusBadRequest, "missing required Host header"}
	case !httpguts.ValidHostHeader(r.Host):
		return nil, &requestError{http.StatusBadRequest, "malformed Host header"}
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return nil, &requestError{http.StatusBadRequest, "invalid header name"}
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return nil, &requestError{http.StatusBadRequest, "invalid header value"}
			}
		}
	}
	return r, nil
}

// quoteError returns an error's text quoted on one line and truncated, as it may contain what the
// client sent.
func quoteError(err error) string { return fmt.Sprintf("%.120q", err.Error()) }

// hasHost reports whether a head has a Host line, which net/http removes from the headers.
func hasHost(head []byte) bool {
	for line := range bytes.Lines(head) {
		if len(line) > 5 && bytes.EqualFold(line[:5], []byte("host:")) {
			return true
		}
	}
	return false
}
