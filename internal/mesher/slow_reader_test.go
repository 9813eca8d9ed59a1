package mesher

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A caller pauses while it reads a large answer: its full connection would be taken for one to a VM that has lost power.
func TestCallerThatPausesGetsTheWholeAnswer(t *testing.T) {
	f := &fleet{}
	_, n := f.startServing(t)
	_, err := io.WriteString(n, "GET /long/large HTTP/1.1\r\nHost: h\r\nX-Id: large\r\nX-Key: k\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(n), nil)
	assert.NilError(t, err)
	time.Sleep(4 * time.Second)
	read, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err, "after %d bytes", read)
	assert.Equal(t, read, int64(largeAnswerBytes))
}

// An endpoint pauses while it reads a large upload: the full connections on the way would be taken for ones to lost VMs.
func TestEndpointThatPausesGetsTheWholeUpload(t *testing.T) {
	f := &fleet{}
	read := make(chan int64, 1)
	f.work = func(r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/upload") {
			return
		}
		time.Sleep(4 * time.Second)
		n, _ := io.Copy(io.Discard, r.Body)
		read <- n
	}
	entry, _ := f.startServing(t)
	r, err := http.NewRequest(http.MethodPost, "http://"+entry.settings.Listen.Outbound.String()+"/long/upload", bytes.NewReader(make([]byte, largeAnswerBytes)))
	assert.NilError(t, err)
	r.Host = "h"
	r.Header.Set("X-Id", "upload")
	r.Header.Set("X-Key", "k")
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	assert.Equal(t, response.StatusCode, 200, string(text))
	assert.Equal(t, <-read, int64(largeAnswerBytes))
}
