package idleconns

import "math/bits"

// clientCache keeps the return patterns of clients whose connections were closed, so
// that a controller that sends a request every minute is recognized when it reconnects,
// even if its connection has never survived an idle period. It has a fixed number of
// slots, and each hash may use two of them.
type clientCache struct {
	slots []cachedClient
	shift int
}

// cachedClient is one slot of the cache.
type cachedClient struct {
	clientHash uint32 // 0: the slot is free
	lastActive uint32 // last change of its connection's state, in time units
	returnPattern
}

// cachedClientSize is the size of a cachedClient in bytes.
const cachedClientSize = 16

// newClientCache returns a cache with n slots, rounded up to a power of two.
func newClientCache(n int) clientCache {
	if n <= 0 {
		return clientCache{}
	}
	width := max(1, bits.Len(uint(n-1)))
	return clientCache{slots: make([]cachedClient, 1<<width), shift: 32 - width}
}

func (c *clientCache) bytes() int { return len(c.slots) * cachedClientSize }

// candidateSlots returns the two slots that a client may use.
func (c *clientCache) candidateSlots(clientHash uint32) (*cachedClient, *cachedClient) {
	index := clientHash * 2654435769 >> c.shift // Fibonacci hashing (Knuth, vol. 3, 6.4)
	return &c.slots[index], &c.slots[index^1]
}

// take returns a client's return pattern and the time of its last activity, and frees
// its slot.
func (c *clientCache) take(clientHash uint32) (_ returnPattern, lastActive uint32, ok bool) {
	if clientHash == 0 || len(c.slots) == 0 {
		return returnPattern{}, 0, false
	}
	for slot, other := c.candidateSlots(clientHash); slot != nil; slot, other = other, nil {
		if slot.clientHash == clientHash {
			found := *slot
			slot.clientHash = 0
			return found.returnPattern, found.lastActive, true
		}
	}
	return returnPattern{}, 0, false
}

// store adds a client. If both its slots are taken, it replaces the client that returned
// less often, but only if that one returned no more often than the new client or is
// overdue. A flood of clients that connect only once can't evict those that return.
func (c *clientCache) store(clientHash uint32, pattern returnPattern, lastActive uint32) {
	if clientHash == 0 || len(c.slots) == 0 {
		return
	}
	var worst *cachedClient
	for slot, other := c.candidateSlots(clientHash); slot != nil; slot, other = other, nil {
		if slot.clientHash == 0 || slot.clientHash == clientHash {
			worst = slot
			break
		}
		if worst == nil || slot.returns < worst.returns {
			worst = slot
		}
	}
	// Time from the stored client's last activity to the new client's.
	away := lastActive - worst.lastActive
	if worst.clientHash == 0 || worst.clientHash == clientHash || worst.returns <= pattern.returns || worst.interval > 0 && away > overdueIntervals*2*worst.interval {
		*worst = cachedClient{clientHash, lastActive, pattern}
	}
}
