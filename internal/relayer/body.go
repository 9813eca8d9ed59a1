package relayer

// A request's body can be read from its caller only once. A small body is buffered, so that the request can be sent again
// to another node; a large one is streamed, and a failure on the way is reported to the caller.
//
// Example: 300 bytes are buffered and sent to two nodes in turn; 60 kB can be sent again only if none of it has been read.

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/jackdawtide/jackdawtide/internal/requester"
)

// replayable is a request's body that can be sent again if it is buffered, or as long as none of it has been read from
// the caller.
type replayable struct {
	buffered []byte
	stream   io.Reader
	length   int64
	// readStarted is set by the goroutine that sends the body, and read by the one that waits for the answer.
	readStarted atomic.Bool
}

const (
	// maxBufferedBody is the size in bytes of the largest body that is buffered to be sent again.
	maxBufferedBody = 16 << 10
)

func newReplayable(request *http.Request) (*replayable, error) {
	if request.ContentLength == 0 {
		return &replayable{}, nil
	}
	if request.ContentLength > 0 && request.ContentLength <= maxBufferedBody {
		buffered := make([]byte, request.ContentLength)
		_, err := io.ReadFull(request.Body, buffered)
		return &replayable{buffered: buffered, length: request.ContentLength}, err
	}
	return &replayable{stream: request.Body, length: request.ContentLength}, nil
}

func (b *replayable) streamed() bool {
	return b.stream != nil
}

func (b *replayable) canResend() bool {
	return !b.readStarted.Load()
}

// reader returns a reader at the body's start, and the body's length.
func (b *replayable) reader() (io.Reader, int64) {
	switch {
	case b.stream != nil:
		return b, b.length
	case b.buffered != nil:
		return bytes.NewReader(b.buffered), b.length
	default:
		return nil, 0
	}
}

// Read reads from the caller and marks the body as no longer replayable.
func (b *replayable) Read(p []byte) (int, error) {
	b.readStarted.Store(true)
	return b.stream.Read(p)
}

func (r *Relayer) refuseTooLarge(w http.ResponseWriter, limit int64) {
	w.Header().Set("Connection", "close")
	http.Error(w, "body is longer than "+strconv.FormatInt(limit, 10)+" bytes", http.StatusRequestEntityTooLarge)
}

// exceededBodyLimit returns the limit that a request's body exceeded, 0 if the error has another cause.
func exceededBodyLimit(err error) int64 {
	var long *http.MaxBytesError
	var body requester.BodyError
	if errors.As(err, &body) && errors.As(body.Cause, &long) {
		return long.Limit
	}
	return 0
}
