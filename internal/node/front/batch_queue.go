package front

// batchQueue hands events from a transport's goroutine to the transport's owner, one batch at a
// time.
type batchQueue struct {
	out  chan []Event
	done chan struct{}
	stop chan struct{} // closed by Shutdown
}

func newBatches() batchQueue {
	return batchQueue{out: make(chan []Event), done: make(chan struct{}), stop: make(chan struct{})}
}

// deliver returns true when the owner has finished with a batch, and false once the queue is
// stopped.
func (b *batchQueue) deliver(batch []Event) bool {
	select {
	case b.out <- batch:
	case <-b.stop:
		return false
	}
	select {
	case <-b.done:
		return true
	case <-b.stop:
		return false
	}
}

// Events and BatchDone implement Transport.
func (b *batchQueue) Events() <-chan []Event { return b.out }

func (b *batchQueue) BatchDone() {
	select {
	case b.done <- struct{}{}:
	case <-b.stop:
	}
}
