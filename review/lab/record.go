package main

// The record of a run lists what was sent, what reached endpoints, what they ran and what clients were answered.
//
// Example: 3.204 c4-17 ran at i-desk-2

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a run; it is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// note writes one line, with the time in seconds since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%.3f ", time.Since(r.started).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

// say writes one line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
