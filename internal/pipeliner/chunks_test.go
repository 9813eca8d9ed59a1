package pipeliner

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const chunkedHead = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

// askedBeyond notes that it was read beyond its end.
type askedBeyond bool

func (a *askedBeyond) Read([]byte) (int, error) {
	*a = true
	return 0, io.EOF
}

// readByServer reads a chunked body with net/http's reader; it returns how many bytes the body has, whether it is accepted, and
// whether the reader asked for more than data.
func readByServer(t testing.TB, data []byte) (size int, accepted, asked bool) {
	t.Helper()
	var beyond askedBeyond
	from := bytes.NewReader(data)
	// As with the connection, the reader has nothing of the body in its buffer when the head ends.
	r := bufio.NewReader(io.MultiReader(strings.NewReader(chunkedHead), from, &beyond))
	request, err := http.ReadRequest(r)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, request.Body)
	return len(data) - from.Len() - r.Buffered(), err == nil, bool(beyond)
}

// drawBytes returns one of the texts, or now and then any bytes.
func drawBytes(rt *rapid.T, label string, texts ...string) string {
	if rapid.IntRange(0, 30).Draw(rt, label+" at random") == 30 {
		return rapid.StringOfN(rapid.SampledFrom([]rune("0a;:\r\n \tx\"")), 0, 4, -1).Draw(rt, label)
	}
	return rapid.SampledFrom(texts).Draw(rt, label)
}

// drawChunks returns a chunked body with any extensions and trailers, mostly a valid one.
func drawChunks(rt *rapid.T) string {
	var b strings.Builder
	for range rapid.IntRange(0, 4).Draw(rt, "chunks") {
		data := rapid.SampledFrom([]string{"a", "\r\n", "0\r\n\r\n", strings.Repeat("ring", 30), strings.Repeat("x", 5000)}).
			Draw(rt, "data")
		b.WriteString(drawBytes(rt, "zeros", "", "", "0", "000"))
		b.WriteString(drawBytes(rt, "size", fmt.Sprintf("%x", len(data)), fmt.Sprintf("%X", len(data))))
		b.WriteString(drawBytes(rt, "extension", "", "", " ", "\t ", ";a=b", `;a="b c"`, ";", "; a"))
		b.WriteString(drawBytes(rt, "line end", "\r\n") + data + drawBytes(rt, "data end", "\r\n"))
	}
	b.WriteString(drawBytes(rt, "last", "0", "0", "00", "0;a=b", "0 ") + drawBytes(rt, "last end", "\r\n"))
	for range rapid.IntRange(0, 3).Draw(rt, "trailers") {
		b.WriteString(drawBytes(rt, "trailer", "A: b", "Ring: ", "A: b\r\n c", "A: "+strings.Repeat("x", 1500), "A"))
		b.WriteString(drawBytes(rt, "trailer end", "\r\n", "\r\n", "\r\n", "\n"))
	}
	b.WriteString(drawBytes(rt, "end", "\r\n", "\r\n", "\r\n", "\n"))
	return b.String()
}

// A scanner that ends a body elsewhere than net/http's reader would hand out a part of the next request with it or hold back
// bytes that the reader waits for.
func TestChunkedBodyEndsWhereTheServerEndsIt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		data := []byte(drawChunks(rt) + rapid.SampledFrom([]string{"", idempotentRequest("/b"), "\r\n\r\n"}).Draw(rt, "behind"))
		var c chunks
		size, ended := 0, false
		var least []int
		for rest := data; len(rest) > 0 && !ended && c.state != chunkMalformed; {
			piece := rest[:rapid.IntRange(1, min(len(rest), 300)).Draw(rt, "piece")]
			for range piece {
				least = append(least, 0)
			}
			least[size] = c.least()
			var n int
			n, ended = c.end(piece)
			size += n
			rest = rest[len(piece):]
		}
		want, accepted, _ := readByServer(t, data)
		switch {
		case c.state == chunkMalformed:
			assert.Assert(rt, !accepted || !bytes.HasSuffix(data[:want], []byte("\r\n\r\n")), "%q", data)
		case !ended:
			assert.Assert(rt, !accepted, "%q", data)
		default:
			_, alone, asked := readByServer(t, data[:size])
			assert.Assert(rt, alone == accepted && !asked, "%q", data[:size])
		}
		if ended && accepted {
			assert.Equal(rt, size, want, "%q", data)
			for i, l := range least[:size] {
				assert.Assert(rt, l <= size-i, "%d at %d of %q", l, i, data[:size])
			}
		}
	})
}

// A body that net/http rejects, or whose end is not certain, would leave the connection open without a known request boundary.
func TestMalformedChunkedBodyEndsTheConnection(t *testing.T) {
	for name, body := range map[string]string{
		"no size":                    "\r\n",
		"size too long":              "00000000000000001\r\na\r\n0\r\n\r\n",
		"no digit":                   "5x\r\nhello\r\n0\r\n\r\n",
		"line feed behind size":      "5\nhello\r\n0\r\n\r\n",
		"more data than announced":   "5\r\nhello, all\r\n0\r\n\r\n",
		"line feeds in the trailers": "5\r\nhello\r\n0\r\nA: b\n\n",
		"trailer without colon":      "5\r\nhello\r\n0\r\nA\r\n\r\n",
		"long trailers":              "0\r\nA: " + strings.Repeat("x", 5000) + "\r\n\r\n",
	} {
		for _, path := range []string{"/5/9/read", "/5/9/unread"} {
			t.Run(name+path, func(t *testing.T) {
				s := serve(t, 4)
				c := s.call(t)
				begun := time.Now()
				c.send(t, strings.Replace(chunkedHead, "/", path, 1), body, idempotentRequest("/0/0/b"))
				var answered []string
				for {
					response, err := http.ReadResponse(c.reader, nil)
					if err != nil {
						break
					}
					_, err = io.Copy(io.Discard, response.Body)
					assert.NilError(t, err)
					answered = append(answered, response.Header.Get("X-Path"))
				}
				took := time.Since(begun)
				assert.Assert(t, took < time.Second, "took %v", took)
				assert.Equal(t, answered[0], path)
				assert.Equal(t, strings.Join(answered, " "), s.list(&s.begun))
			})
		}
	}
}

// A caller that waits for "100 Continue" sends its chunked body only then; the next request behind it must be found as well.
func TestChunkedBodyIsReadAfterContinue(t *testing.T) {
	s := serve(t, 4)
	c := s.call(t)
	for range 2 {
		c.send(t, "POST /0/9 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n")
		response, err := http.ReadResponse(c.reader, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusContinue)
		c.send(t, "9\r\ntwo rings\r\n0\r\n\r\n", idempotentRequest("/0/b"))
		for _, want := range [][2]string{{"/0/9", "two ringsxxxxxxxxx"}, {"/0/b", ""}} {
			path, body := c.answer(t)
			assert.DeepEqual(t, [2]string{path, body}, want)
		}
	}
}
