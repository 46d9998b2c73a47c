package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run. It is safe for concurrent use.
type record struct {
	startedAt time.Time

	mu   sync.Mutex
	file *os.File
}

// newRecord returns an empty record in the file at the path, and a function that closes it.
func newRecord(path string) (*record, func(), error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}

	return &record{file: file, startedAt: time.Now()}, func() { _ = file.Close() }, nil
}

// write adds a line of a kind, with the seconds since the start.
func (r *record) write(kind, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-8s %s\n", time.Since(r.startedAt).Seconds(), kind, fmt.Sprintf(format, values...))
}
