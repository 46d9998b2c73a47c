package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what happens to the record of a case, one line each, with the seconds since its start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)

	return &recorder{file: file, start: time.Now()}, err
}

func (r *recorder) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

func (r *recorder) close() {
	_ = r.file.Close()
}
