package front

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// headSlop is what a head may hold over the bound told in net/http.Server's terms.
const headSizeSlack = 4096

// parser reads heads with net/http's parser. Its buffers are used again.
type headParser struct {
	bytes  bytes.Reader
	reader *bufio.Reader
}

// fault is an error of the client's making, and how it is answered.
type requestError struct {
	status int
	text   string
}

func (f *requestError) Error() string { return f.text }

// headEnd returns where a head ends that starts the data: behind its first empty
// line, as net/textproto ends lines, by LF or CRLF. from is where to look from, which
// an earlier look returned as next. end is 0 if the head has not ended yet.
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

// head reads a whole head, and nothing but that.
func (p *headParser) parseHead(data []byte) (*http.Request, *requestError) {
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
	case p.reader.Buffered()+p.bytes.Len() > 0: // the parser takes another end for the head's than we do
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

// firstLine is an error's text as one short printable line: it may hold what the
// client sent.
func quoteError(err error) string { return fmt.Sprintf("%.120q", err.Error()) }

// hasHost tells whether a head has a Host line, which net/http takes out.
func hasHost(head []byte) bool {
	for line := range bytes.Lines(head) {
		if len(line) > 5 && bytes.EqualFold(line[:5], []byte("host:")) {
			return true
		}
	}
	return false
}
