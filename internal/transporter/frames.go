// A stream carries frames: a length of four bytes and as many bytes of content. A body is a sequence of non-empty
// frames followed by an empty one, the end mark, so that a stream that ends early is never mistaken for a complete body.
//
// Example: the answer "ok" with its tail is  head frame, 0 0 0 2 o k, 0 0 0 0, tail frame.

package transporter

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"sync"
)

const (
	lengthSize = 4
	// maxChunk bounds one frame of a body.
	maxChunk = 32 << 10
	// maxCoalesced is the size up to which head, body and end mark are sent in one write.
	maxCoalesced = 16 << 10
)

var (
	bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}
	chunkPool  = sync.Pool{New: func() any { return new([lengthSize + maxChunk]byte) }}
)

func getBuffer() *bytes.Buffer {
	return bufferPool.Get().(*bytes.Buffer)
}

// A buffer that has grown large is not returned to the pool, where it would keep its memory.
func putBuffer(b *bytes.Buffer) {
	if b.Cap() > 4*maxCoalesced {
		return
	}
	b.Reset()
	bufferPool.Put(b)
}

func getReader(r io.Reader) *bufio.Reader {
	b := readerPool.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

func putReader(b *bufio.Reader) {
	b.Reset(nil)
	readerPool.Put(b)
}

// appendFrame writes the frame of a CBOR wire value to b.
func appendFrame(b *bytes.Buffer, what string, wire any, limit int) error {
	start := b.Len()
	b.Write(make([]byte, lengthSize))
	if err := encodeTo(b, wire); err != nil {
		return MalformedError{What: what, Err: err}
	}
	size := b.Len() - start - lengthSize
	if size > limit {
		return TooLargeError{What: what, Size: size, Limit: limit}
	}
	binary.BigEndian.PutUint32(b.Bytes()[start:], uint32(size))
	return nil
}

// appendChunk writes p as one frame of a body; an empty p is the end mark.
func appendChunk(b *bytes.Buffer, p []byte) {
	var length [lengthSize]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(p)))
	b.Write(length[:])
	b.Write(p)
}

// readLength reads the length of the next frame.
func readLength(r *bufio.Reader, what string, limit int) (int, error) {
	b, err := r.Peek(lengthSize)
	if err != nil {
		return 0, asUnexpectedEOF(err)
	}
	size := binary.BigEndian.Uint32(b)
	if uint64(size) > uint64(limit) {
		return 0, MalformedError{What: what, Err: errLength}
	}
	_, err = r.Discard(lengthSize)
	return int(size), err
}

// readFrame reads a complete frame into memory and passes it to decode, which must not retain the bytes.
func readFrame(r *bufio.Reader, what string, limit int, decode func([]byte) error) error {
	size, err := readLength(r, what, limit)
	if err != nil {
		return err
	}
	if size <= r.Size() {
		return decodeBuffered(r, size, decode)
	}
	b := make([]byte, 0, min(size, maxChunk))
	buffer := bytes.NewBuffer(b)
	if _, err := io.CopyN(buffer, r, int64(size)); err != nil {
		return asUnexpectedEOF(err)
	}
	return decode(buffer.Bytes())
}

func decodeBuffered(r *bufio.Reader, size int, decode func([]byte) error) error {
	b, err := r.Peek(size)
	if err != nil {
		return asUnexpectedEOF(err)
	}
	if err := decode(b); err != nil {
		return err
	}
	_, err = r.Discard(size)
	return err
}

// A stream that ends inside a frame lost its sender. If this were passed on as io.EOF, it would look like the end of
// a complete body, and a caller would accept half a document without an error.
func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// bodyReader reads the frames of a body and returns io.EOF only at the end mark.
type bodyReader struct {
	r    *bufio.Reader
	left int
	err  error
}

// Read reads from the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	if b.left == 0 && !b.next() {
		return 0, b.err
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	if err != nil {
		b.err = asUnexpectedEOF(err)
	}
	return n, b.err
}

func (b *bodyReader) next() bool {
	b.left, b.err = readLength(b.r, "body", maxChunk)
	if b.err == nil && b.left == 0 {
		b.err = io.EOF
	}
	return b.err == nil
}

// complete reports whether the end mark was read.
func (b *bodyReader) complete() bool {
	return errors.Is(b.err, io.EOF)
}
