package pipeliner

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// A request behind one with a chunked body has been read when an answer closes the connection: it would get no answer.
func TestRequestReadBehindAChunkedBodyIsAnswered(t *testing.T) {
	for name, second := range map[string]string{
		"without a body": idempotentRequest("/0/b"),
		"with a body":    nonIdempotentRequest("/0/b", "two rings"),
		"chunked":        chunked("/0/b", "two rings"),
	} {
		t.Run(name, func(t *testing.T) {
			s, _, l := serveCounted(t, 4)
			c := s.call(t)
			first := chunked("/50/close", "one ring")
			c.send(t, first+second)
			answers := 0
			for {
				response, err := http.ReadResponse(c.reader, nil)
				if err != nil {
					break
				}
				answers++
				assert.NilError(t, response.Body.Close())
				if answers == 2 {
					break
				}
			}
			sent := int64(len(first) + len(second))
			assert.Assert(t, answers == 2 || l.read.Load() < sent, "%d answers, %d of %d bytes read", answers, l.read.Load(), sent)
		})
	}
}
