package node

import (
	"testing"

	"go.uber.org/goleak"
)

// No goroutine of a node may outlive it.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
