package standin

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"testing"
)

// An answer without a length must end with its connection, in order or, if it is cut off, by a reset.
func TestUnframedFaultEndsAnswersWithTheConnection(t *testing.T) {
	f := startFleet(t, smallPlan())
	for name, test := range map[string]struct {
		cutFraction float64
		err         error
	}{"whole": {1e-9, nil}, "cut off": {1, syscall.ECONNRESET}} {
		answer := requestUnderFault(t, f, Fault{Kind: "unframed", Server: "0", Magnitude: test.cutFraction})
		response, err := http.ReadResponse(answer, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		body, err := io.ReadAll(response.Body)
		want := answerText(f.Servers[0].ID, "00000000000000aa")
		if response.ContentLength >= 0 || !errors.Is(err, test.err) || (string(body) == want) != (test.err == nil) {
			t.Errorf("%s: length %d, body %q, error %v", name, response.ContentLength, body, err)
		}
	}
}
