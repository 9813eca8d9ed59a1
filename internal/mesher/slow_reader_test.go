package mesher

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A caller pauses while it reads a large answer: its connection is sound, but holds bytes that the caller's system has no room
// for, and may not be taken for one to a VM that has lost power.
func TestCallerThatPausesGetsTheWholeAnswer(t *testing.T) {
	f := &fleet{}
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 1")))
	entry := f.start(t, "entry", "desk")
	f.start(t, "beside", "portal")
	eventually(t, "served", func() bool { status, _ := entry.request(); return status == 200 })
	n, err := net.Dial("tcp", entry.settings.Listen.Outbound.String())
	assert.NilError(t, err)
	defer n.Close()
	_, err = io.WriteString(n, "GET /long/large HTTP/1.1\r\nHost: h\r\nX-Id: large\r\nX-Key: k\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(n), nil)
	assert.NilError(t, err)
	time.Sleep(4 * time.Second)
	read, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err, "after %d bytes", read)
	assert.Equal(t, read, int64(largeAnswerBytes))
}

// An endpoint pauses while it reads a large upload: the nodes on the way may not take the full connection for one to a VM that has
// lost power.
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
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 1")))
	entry := f.start(t, "entry", "desk")
	f.start(t, "beside", "portal")
	eventually(t, "served", func() bool { status, _ := entry.request(); return status == 200 })
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
