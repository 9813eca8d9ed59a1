package relayer

// A small answer is read whole before any of it is passed on, so that one that breaks off can be asked for again.
//
// Example: 600 of 900 bytes come and the connection is reset: Broken, and a lookup is tried elsewhere.

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/requester"
)

// maxBufferedAnswer is the largest answer that is read whole before any of it is passed on, so that one that breaks off can
// be asked for again. Ordinary answers have 400 to 6,000 bytes.
const maxBufferedAnswer = 64 << 10

func (r *Relayer) bufferSmallAnswer(ctx context.Context, cancel func(), a answer) answer {
	if a.outcome != conductor.Answered {
		cancel()
		return a
	}
	if a.ContentLength > maxBufferedAnswer {
		return cancelAfterBody(a, cancel)
	}
	body, err := readBody(a.Response)
	if err == nil && len(body) > maxBufferedAnswer {
		a.Body = partlyReadBody{Reader: io.MultiReader(bytes.NewReader(body), a.Body), Closer: a.Body}
		return cancelAfterBody(a, cancel)
	}
	defer cancel()
	a.finish(err == nil)
	if err == nil {
		a.body, a.bodyRead = body, true
		return a
	}
	return incompleteAttempt(ctx)
}

// partlyReadBody is a body of which a part was read already.
type partlyReadBody struct {
	io.Reader
	io.Closer
}

// readBody reads a body to its end, or a little more than what counts as small of one whose length is not known.
func readBody(response *requester.Response) ([]byte, error) {
	var body bytes.Buffer
	if response.ContentLength > 0 {
		// Room for all of it, and for the read that finds its end.
		body.Grow(int(response.ContentLength) + bytes.MinRead)
	}
	_, err := body.ReadFrom(io.LimitReader(response.Body, maxBufferedAnswer+1))
	if err == nil && response.ContentLength > int64(body.Len()) && response.Request.Method != http.MethodHead {
		return nil, io.ErrUnexpectedEOF
	}
	return body.Bytes(), err
}

// cancelAfterBody leaves an answer's context open until its body has been passed on.
func cancelAfterBody(a answer, cancel func()) answer {
	finish := a.finish
	a.finish = func(whole bool) {
		finish(whole)
		cancel()
	}
	return a
}
