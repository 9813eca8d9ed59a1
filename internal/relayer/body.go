package relayer

// A request's body can be read from its caller only once. A small body is buffered, so that the request can be sent again
// to another node; a large one is streamed, and a failure on the way is reported to the caller.
//
// Example: 300 bytes are buffered and sent to two nodes in turn; 60 kB can be sent again only if none of it has been read.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/requester"
)

// replayable is a request's body that can be sent again if it is buffered, or as long as none of it has been read from
// the caller.
type replayable struct {
	buffered []byte
	room     bufferRoom
	stream   *upload
	length   int64
	// readStarted is set by the goroutine that sends the body, and read by the one that waits for the answer.
	readStarted atomic.Bool
}

const (
	// maxBufferedBody is the size in bytes of the largest body that is buffered to be sent again.
	maxBufferedBody = 16 << 10
)

// newReplayable returns a request's body; a small one is read now, until the given time. Its memory must be released.
func (r *Relayer) newReplayable(w http.ResponseWriter, request *http.Request, u *upload, until time.Time) (*replayable, error) {
	if u == nil {
		return &replayable{}, nil
	}
	if isStreamed(request) {
		return &replayable{stream: u, length: request.ContentLength}, nil
	}
	room, err := r.hold(request.ContentLength)
	if err != nil {
		return nil, err
	}
	buffered := make([]byte, request.ContentLength)
	c := http.NewResponseController(w)
	// Without support for deadlines, a caller that pauses within its body is waited for.
	bounded := c.SetReadDeadline(until) == nil
	_, err = io.ReadFull(u, buffered)
	if bounded && err == nil {
		err = c.SetReadDeadline(time.Time{})
	}
	return &replayable{buffered: buffered, room: room, length: request.ContentLength}, err
}

// newUpload returns the body of a request, nil if it has none.
func newUpload(request *http.Request) *upload {
	if request.ContentLength == 0 {
		return nil
	}
	return &upload{Reader: request.Body}
}

// isStreamed returns whether a request's body is too long to be buffered, or may be.
func isStreamed(request *http.Request) bool {
	return request.ContentLength < 0 || request.ContentLength > maxBufferedBody
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

// upload is a request's body that may still be read when its answer has been written, since the endpoint answered early.
type upload struct {
	io.Reader
	// mu is held during each read, so that what is left is read only after the goroutine that sends the body has stopped.
	mu    sync.Mutex
	ended atomic.Bool
	// answered is set when an early answer begins to be written.
	answered atomic.Bool
}

// context returns a context that ends with parent, unless the caller leaves when it has sent its whole body and is being
// answered early: what the endpoint has not got yet is then still sent.
func (u *upload) context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() {
		if !endedByStop(parent) && u.answered.Load() {
			// The HTTP server notices that the caller has left while the read that ends the body returns.
			u.mu.Lock()
			defer u.mu.Unlock()
			if u.ended.Load() {
				return
			}
		}
		cancel(context.Cause(parent))
	})
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// Read reads from the body.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n, err := u.Reader.Read(p)
	if err == io.EOF {
		u.ended.Store(true)
	}
	return n, err
}

// errUploadUnread reports that the caller has not ended its body although it was answered.
var errUploadUnread = errors.New("the rest of the request's body was not read")

// finish reads what is left of the body, so that the connection can be used again; it returns errUploadUnread if that is more
// than maxDrainedUpload or is not there at the deadline. The connection must be closed then: what follows would be taken for
// the next request.
func (u *upload) finish(c *http.ResponseController, deadline time.Time) error {
	if u.ended.Load() {
		return nil
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(u, maxDrainedUpload+1))
	switch {
	case err != nil:
		return err
	case n > maxDrainedUpload:
		return errUploadUnread
	}
	return c.SetReadDeadline(time.Time{})
}

// maxDrainedUpload is how many bytes of a body that nobody waits for are read to keep its connection, as net/http does.
const maxDrainedUpload = 256 << 10

// abort ends a request's connection at once. The HTTP server would first read what is left of the body, for which its caller may take
// long while it does not know that its answer has broken off.
func abort(w http.ResponseWriter) {
	// Without support for deadlines there is no body to read.
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	panic(http.ErrAbortHandler)
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
