package requester

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that is refused as not run while it runs, since a copy of a refusal that was cut short within its head
// was read as the beginning of the right answer.
func TestCopyCutShortIsNotReadIntoNextAnswer(t *testing.T) {
	const declined = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Served: i-1\r\nX-Id: a\r\nContent-Length: 3\r\n\r\nno\n"
	for cut := range len(declined) + 1 {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
				answer := declined
				if r.Header.Get("X-Id") == "b" {
					answer = declined[:cut] + answerTo(r, "ran") + answerTo(r, "ran")
				}
				_, err := io.WriteString(n, answer)
				return err == nil
			})
			c := client()
			_, err := do(t, c, s, get("a"))
			assert.NilError(t, err)
			r := get("b")
			response, err := c.Do(timeLimit(t, 200*time.Millisecond), s.Addr().String(), r)
			if err != nil {
				return
			}
			defer response.Close(false)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, response.Header.Get("X-Not-Run"), "")
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "ran")
		})
	}
}
