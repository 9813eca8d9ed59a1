package requester

// net/http reads the lines of chunk sizes and the trailer of an answer up to bounds of its own. An answer that exceeds one is
// reported like those that exceed the bounds of this package.
//
// Example: a chunk size is followed by 8 KiB of extensions: BoundError{Bound: "chunkLine"}.

import (
	"errors"
	"io"
	"net/http"
	"strings"
)

// framingBytes is the longest line of a chunk size, and the longest trailer, that net/http reads: the size of its buffer.
const framingBytes = readBuffer

// longTrailer is part of the error with which net/http ends a body whose trailer is too long; it exports no value for it.
const longTrailer = "suspiciously long trailer"

// chunkedBody reports the bound that a body in chunks exceeds.
type chunkedBody struct {
	io.ReadCloser
	report func(error)
}

// Read reads from the body.
func (b chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil || err == io.EOF:
		return n, err
	case errors.Is(err, http.ErrLineTooLong):
		err = BoundError{Bound: "chunkLine", Limit: framingBytes}
	case strings.Contains(err.Error(), longTrailer):
		err = BoundError{Bound: "trailer", Limit: framingBytes}
	}
	b.report(err)
	return n, err
}
