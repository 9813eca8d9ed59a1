package requester

// Most kept connections are idle, and two buffers of 4 kB each are nine tenths of what such a connection takes. Therefore
// a connection has buffers only while it carries a request. Buffers of a connection that is closed instead of kept are left
// to the collector: the goroutine that sends a request's body may still write to them.
//
// Example: 1,400 connections, 30 of which carry a request, hold 240 kB of buffers instead of 11 MB.

import (
	"bufio"
	"sync"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}
)

// attachBuffers gives the connection buffers for a request.
func (c *conn) attachBuffers() {
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(c)
	c.writer = writers.Get().(*bufio.Writer)
	c.writer.Reset(c)
}

// releaseBuffers takes the buffers of a connection that becomes idle. They must be empty, and nothing may use them any more.
func (c *conn) releaseBuffers() {
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.writer.Reset(nil)
	writers.Put(c.writer)
	c.reader, c.writer = nil, nil
}
