package front

// fifo is a queue of tokens. It takes memory for what waits, and gives it back.
type tokenQueue struct {
	items []uint64
	head  int
}

func (q *tokenQueue) len() int { return len(q.items) - q.head }

func (q *tokenQueue) push(token uint64) {
	if q.head > 1024 && q.head > len(q.items)/2 {
		q.items = append(q.items[:0], q.items[q.head:]...)
		q.head = 0
	}
	q.items = append(q.items, token)
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
