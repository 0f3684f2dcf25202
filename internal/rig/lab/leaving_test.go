package lab

import (
	"testing"
	"time"
)

// Guards against requests that are sent on after their client has closed its connection with many of them unread.
func TestNothingIsSentForPipelinesOfClientsThatLeft(t *testing.T) {
	runFaults(t, func(o *Options) {
		o.Nodes, o.Traffic.Rate, o.Traffic.Duration = 2, 50, 4*time.Second
	}, "slow:site=zuerich,at=0s,for=4s,by=50", "slow:site=genf,at=0s,for=4s,by=50", "abandon:node=0,at=500ms,for=3s,by=4,with=pipelined")
}

// Guards against a request that runs twice because it comes again after its client has left.
func TestRequestThatComesAgainAfterItsClientLeftRunsOnce(t *testing.T) {
	runFaults(t, func(o *Options) {
		o.Nodes, o.Traffic.Rate, o.Traffic.Duration = 2, 50, 4*time.Second
	}, "abandon:node=0,at=500ms,for=3s,by=4,with=again")
}

// Guards against places that stay taken by clients that have reset their connection in the middle of a request.
func TestUnfinishedRequestsOfClientsThatLeftHoldNoPlaces(t *testing.T) {
	checkServiceBeside(t, 128, "abandon:node=0,at=1s,for=4s,by=6,with=unfinished")
}
