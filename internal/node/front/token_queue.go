package front

// tokenQueue is a FIFO queue of tokens. It moves its items to the front of the buffer as they are
// removed, and frees a large buffer once it is empty.
type tokenQueue struct {
	items []uint64
	head  int
}

func (q *tokenQueue) len() int { return len(q.items) - q.head }

// first returns the token that pop would return.
func (q *tokenQueue) first() uint64 { return q.items[q.head] }

func (q *tokenQueue) push(token uint64) {
	if q.head > 1024 && q.head > len(q.items)/2 {
		q.items = append(q.items[:0], q.items[q.head:]...)
		q.head = 0
	}
	q.items = append(q.items, token)
}

// pushAfterDropping adds a token and removes those at the front that are no longer of use, so that tokens which are
// removed in no other way do not pile up.
func (q *tokenQueue) pushAfterDropping(token uint64, inUse func(token uint64) bool) {
	for q.len() > 0 && !inUse(q.first()) {
		q.pop()
	}
	q.push(token)
}

func (q *tokenQueue) pop() uint64 {
	token := q.items[q.head]
	if q.head++; q.head == len(q.items) {
		if *q = (tokenQueue{items: q.items[:0]}); cap(q.items) > 4096 {
			q.items = nil
		}
	}
	return token
}
