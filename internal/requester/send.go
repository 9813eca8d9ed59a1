package requester

// The body of a request may still be on its way when the answer arrives. Long bodies are therefore sent by a goroutine of
// their own, whose end the response can wait for.
//
// Example: 60 kB in chunks are answered after 4 kB; the rest is sent while the answer is read.

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
)

// sending is the sending of a request's body; err is set before done is closed.
type sending struct {
	done chan struct{}
	err  error
}

func (s *sending) hasEnded() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

func writeHead(w *bufio.Writer, r *Request) {
	// The writer keeps its first error and returns it from Flush.
	_, _ = w.WriteString(r.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(r.URI)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(r.Host)
	_, _ = w.WriteString("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			_, _ = w.WriteString(name)
			_, _ = w.WriteString(": ")
			_, _ = w.WriteString(value)
			_, _ = w.WriteString("\r\n")
		}
	}
	switch {
	case r.Body != nil && r.Length < 0:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Body != nil:
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.FormatInt(r.Length, 10))
		_, _ = w.WriteString("\r\n")
	}
	if r.ExpectContinue && r.Body != nil {
		_, _ = w.WriteString("Expect: 100-continue\r\n")
	}
	_, _ = w.WriteString("\r\n")
}

// maxInlineBodyBytes is the largest body that is sent before the answer is read. It fits into the socket's buffers, so
// sending cannot block on a server that answers without reading.
const maxInlineBodyBytes = 8 << 10

// sendBody sends a long body concurrently with the reading of the answer, since a server may answer before it has read
// all of it. If the body can't be read to its end, the connection is reset; otherwise the server would wait for the rest
// until its timeout.
func sendBody(n *conn, r *Request) *sending {
	s := &sending{done: make(chan struct{})}
	send := func() {
		defer close(s.done)
		body := &errorRecordingBody{Reader: r.Body}
		err := writeBody(n.writer, body, r.Length)
		if body.err != nil {
			n.bodyFailed.Store(&BodyError{Cause: body.err})
			n.abort()
		}
		s.err = err
	}
	if r.Length >= 0 && r.Length <= maxInlineBodyBytes {
		send()
	} else {
		go send()
	}
	return s
}

// errorRecordingBody records the error that ended the reading of a body early.
type errorRecordingBody struct {
	io.Reader
	err error
}

// Read reads from the body.
func (b *errorRecordingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}

func writeBody(w *bufio.Writer, body io.Reader, length int64) error {
	if length < 0 {
		return writeChunks(w, body)
	}
	sent, err := io.Copy(w, io.LimitReader(body, length))
	if err != nil {
		return err
	}
	if sent < length {
		return io.ErrUnexpectedEOF
	}
	return w.Flush()
}

func writeChunks(w *bufio.Writer, body io.Reader) error {
	buffer := make([]byte, writeBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			_, _ = fmt.Fprintf(w, "%x\r\n", n)
			_, _ = w.Write(buffer[:n])
			_, _ = w.WriteString("\r\n")
			if flushed := w.Flush(); flushed != nil {
				return flushed
			}
		}
		if err == io.EOF {
			_, _ = w.WriteString("0\r\n\r\n")
			return w.Flush()
		}
		if err != nil {
			return err
		}
	}
}
