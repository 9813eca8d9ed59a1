package relayer

// A small answer is buffered completely before it is forwarded, so that a request whose answer is truncated can be retried.
//
// Example: 600 of 900 bytes arrive and the connection is reset: the outcome is Broken, and an idempotent request is retried.

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
	"github.com/jackdawtide/jackdawtide/internal/requester"
)

// maxBufferedAnswer is the size in bytes of the largest answer that is buffered completely before it is forwarded. Ordinary
// answers have 400 to 6,000 bytes.
const maxBufferedAnswer = 64 << 10

func (r *Relayer) bufferSmallAnswer(ctx context.Context, cancel func(), a answer) answer {
	if a.outcome != conductor.Answered {
		cancel()
		return a
	}
	if a.ContentLength > maxFollowedAnswer || a.ContentLength > maxBufferedAnswer && !mayHoldUpOthers(ctx, a) {
		return cancelAfterBody(a, cancel)
	}
	room, err := r.holdAnswer(a)
	if err != nil {
		return cancelAfterBody(a, cancel)
	}
	a.room = room
	body, err := readBody(a.Response)
	followed := err == nil && len(body) > maxBufferedAnswer && mayHoldUpOthers(ctx, a)
	if followed {
		body, err = r.readFollowedBody(&a, body)
	}
	if err == nil && !followed && (len(body) > maxBufferedAnswer || a.early()) {
		// The attempt goes on until the request's body has been sent.
		a.putBack(body)
		return cancelAfterBody(a, cancel)
	}
	defer cancel()
	a.finish(err == nil)
	if err == nil {
		a.body, a.bodyRead = body, true
		return a
	}
	a.room.release()
	return incompleteAttempt(ctx).on(a.connection)
}

// holdAnswer reserves memory for what is buffered of an answer. Without room it is forwarded as it comes.
func (r *Relayer) holdAnswer(a answer) (bufferRoom, error) {
	if a.ContentLength >= 0 {
		return r.hold(min(a.ContentLength, maxBufferedAnswer))
	}
	return r.hold(maxBufferedAnswer)
}

// mayHoldUpOthers returns whether answers to later requests are due on the caller's connection, and lets no more of them be started.
func mayHoldUpOthers(ctx context.Context, a answer) bool {
	return !a.early() && pipeliner.HoldFollowers(ctx)
}

const (
	// maxFollowedAnswer bounds an answer that is buffered because requests behind it on its caller's connection have been started,
	// maxFollowedBytes all of them at this node.
	maxFollowedAnswer = 4 << 20
	maxFollowedBytes  = 16 << 20
)

// readFollowedBody reads a long answer to its end, though it could be forwarded from its beginning. One that has no end, or breaks
// off, then fails by itself; forwarded in part, it would end the connection on which the answers to later requests are due.
func (r *Relayer) readFollowedBody(a *answer, begun []byte) ([]byte, error) {
	body := bytes.NewBuffer(begun)
	for {
		a.room.followed += maxBufferedAnswer
		noRoom := r.options.Memory.Take(maxBufferedAnswer)
		if noRoom == nil {
			a.room.bytes += maxBufferedAnswer
		}
		if r.followedBytes.Add(maxBufferedAnswer) > maxFollowedBytes || body.Len() > maxFollowedAnswer || noRoom != nil {
			exceeded := requester.BoundError{Bound: "followedAnswer", Limit: maxFollowedAnswer}
			r.options.Recorder.BoundExceeded(requester.ExceededBound{BoundError: exceeded, Connection: a.connection})
			return nil, exceeded
		}
		switch _, err := io.CopyN(body, a.Body, maxBufferedAnswer); {
		case err == io.EOF && a.ContentLength > int64(body.Len()):
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body.Bytes(), nil
		case err != nil:
			return nil, err
		}
	}
}

// putBack makes bytes that were read from the body available again, and sets the length of a body that they are all of.
func (a answer) putBack(body []byte) {
	if a.ContentLength < 0 && len(body) <= maxBufferedAnswer {
		a.ContentLength = int64(len(body))
	}
	a.Body = partlyReadBody{Reader: io.MultiReader(bytes.NewReader(body), a.Body), Closer: a.Body}
}

// partlyReadBody is a body whose beginning has already been read into a buffer.
type partlyReadBody struct {
	io.Reader
	io.Closer
}

// readBody reads a body to its end, or up to one byte beyond maxBufferedAnswer if its length is unknown.
func readBody(response *requester.Response) ([]byte, error) {
	var body bytes.Buffer
	if response.ContentLength > 0 {
		// The buffer has room for the whole body and for the read that finds its end.
		body.Grow(int(min(response.ContentLength, maxBufferedAnswer+1)) + bytes.MinRead)
	}
	_, err := body.ReadFrom(io.LimitReader(response.Body, maxBufferedAnswer+1))
	if err == nil && response.ContentLength > int64(body.Len()) && body.Len() <= maxBufferedAnswer && response.Request.Method != http.MethodHead {
		return nil, io.ErrUnexpectedEOF
	}
	return body.Bytes(), err
}

// cancelAfterBody keeps an answer's context open until its body has been forwarded.
func cancelAfterBody(a answer, cancel func()) answer {
	finish := a.finish
	a.finish = func(whole bool) {
		finish(whole)
		cancel()
	}
	return a
}
