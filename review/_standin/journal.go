package main

import (
	"bufio"
	"fmt"
	"sync"
	"time"
)

// journal is the record of a case. It is safe for concurrent use.
type journal struct {
	mu      sync.Mutex
	started time.Time
	to      *bufio.Writer
}

func (j *journal) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(j.to, "%9.3f %s\n", time.Since(j.started).Seconds(), fmt.Sprintf(format, args...))
}
