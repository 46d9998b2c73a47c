package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that holds what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	began   time.Time
	discard bool
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}

	return &record{file: file, out: bufio.NewWriter(file), began: time.Now()}, nil
}

// add writes a line with the time since the start.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.discard {
		fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
	}
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discard = true
	if err := r.out.Flush(); err != nil {
		return err
	}

	return r.file.Close()
}
