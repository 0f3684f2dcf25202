package scale

import (
	"fmt"
	"strings"
	"time"

	"curlewring/internal/budget"
)

// PathHeader returns the length of the budget header of a call that has passed through the given number of nodes with
// names of the given length, and an error if the next node would reject the header.
func PathHeader(hops, nameBytes int) (length int, err error) {
	b := budget.Budget{TimeLeft: 5 * time.Second, ExtraAttempts: 3, Worth: 12, Class: "notruf-abfrage", AttemptID: "9b1f03aa5c7e2d41"}
	for i := range hops {
		name := fmt.Sprintf("n%d", i)
		b.Path = append(b.Path, name+strings.Repeat("x", max(0, nameBytes-len(name))))
	}
	header := b.Encode()
	_, err = budget.Parse(header)
	return len(header), err
}
