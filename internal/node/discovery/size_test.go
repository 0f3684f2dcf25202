package discovery

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "curlewring/internal/node/nodetest"
)

// The error for an answer above the size limit names the request, the address and the limit.
func TestOversizedAnswerError(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, strings.Repeat(" ", maxListSize+1))
	}))
	defer service.Close()
	address := service.Listener.Addr().String()
	_, err := New(address, onlyNode(), DiscardLogger(), func(Update) {}).call(t.Context(), "?since=3", WaitTimeout)
	const want = "/v1/endpoints?since=3 is larger than 4194304 bytes"
	if err == nil || !strings.Contains(err.Error(), address) || !strings.Contains(err.Error(), want) {
		t.Errorf("%v, want %s ... %s", err, address, want)
	}
}
