package front

// batches hands events from a transport's goroutine to its owner, one batch at a time.
type batchQueue struct {
	out  chan []Event
	done chan struct{}
	stop chan struct{} // closed by Shut
}

func newBatches() batchQueue {
	return batchQueue{out: make(chan []Event), done: make(chan struct{}), stop: make(chan struct{})}
}

// deliver returns when the owner is through with a batch, or false once stopped.
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

// Events and Done are Transport's.
func (b *batchQueue) Events() <-chan []Event { return b.out }

func (b *batchQueue) BatchDone() {
	select {
	case b.done <- struct{}{}:
	case <-b.stop:
	}
}
