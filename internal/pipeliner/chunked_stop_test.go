package pipeliner

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The start of a request was read together with a chunked body: a stop would end the connection within that request, or answer
// it with 400 although it is proper.
func TestStopReadsTheRestOfARequestBehindAChunkedBody(t *testing.T) {
	for _, head := range []int{1, 20} {
		t.Run(fmt.Sprintf("%d bytes read", head), func(t *testing.T) {
			s, p, _ := serveCounted(t, 4)
			c := s.call(t)
			second := idempotentRequest("/0/b")
			c.send(t, chunked("/50/a", "one ring")+second[:head])
			path, _ := c.answer(t)
			assert.Equal(t, path, "/50/a")
			time.Sleep(20 * time.Millisecond)
			assert.NilError(t, p.StopReading())
			_, _ = c.Write([]byte(second[head:]))
			response, err := http.ReadResponse(c.reader, nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
		})
	}
}
