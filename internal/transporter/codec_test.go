package transporter

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawFields(t *rapid.T) []Field {
	fields := rapid.SliceOfN(rapid.Make[Field](), 0, 5).Draw(t, "fields")
	return append(fields, Field{Name: "X-Latin", Value: string(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))})
}

func TestHeadsAndTailsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		call, answer := rapid.Make[CallHead]().Draw(t, "call"), rapid.Make[AnswerHead]().Draw(t, "answer")
		call.Header, answer.Header = drawFields(t), drawFields(t)
		tail := rapid.Make[AnswerTail]().Draw(t, "tail")
		b := getBuffer()
		defer putBuffer(b)
		assert.NilError(t, appendFrame(b, "call", callToWire(&call), 1<<20))
		assert.NilError(t, appendFrame(b, "answer", answerToWire(&answer), 1<<20))
		assert.NilError(t, appendFrame(b, "tail", tailToWire(tail, true), 1<<20))
		r := bufio.NewReaderSize(b, 64)
		assert.NilError(t, readFrame(r, "call", 1<<20, func(b []byte) error {
			got, err := decodeCall(b)
			assert.DeepEqual(t, got, call)
			return err
		}))
		assert.NilError(t, readFrame(r, "answer", 1<<20, func(b []byte) error {
			got, err := decodeAnswer(b)
			assert.DeepEqual(t, got, answer)
			return err
		}))
		assert.NilError(t, readFrame(r, "tail", 1<<20, func(b []byte) error {
			got, reusable, err := decodeTail(b)
			assert.Assert(t, reusable)
			assert.Equal(t, got, tail)
			return err
		}))
	})
}

// Bytes from the network may be truncated, corrupted or forged with a stolen certificate. No reader may panic, hang,
// mistake a truncated body for a complete one, or allocate as much memory as a length field claims.
func FuzzFrames(f *testing.F) {
	b := new(bytes.Buffer)
	assert.NilError(f, appendFrame(b, "call", callToWire(&CallHead{Service: "ice", Header: []Field{{"A", "b"}}}), 1<<10))
	appendChunk(b, []byte("body"))
	appendChunk(b, nil)
	assert.NilError(f, appendFrame(b, "tail", tailToWire(AnswerTail{Threshold: 9}, true), 1<<10))
	f.Add(b.Bytes())
	f.Add([]byte{0, 0, 0, 4, 0x9b, 0xff, 0xff, 0xff})
	f.Add([]byte{1, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		for name, decode := range map[string]func([]byte) error{
			"call":   func(b []byte) error { _, err := decodeCall(b); return err },
			"answer": func(b []byte) error { _, err := decodeAnswer(b); return err },
			"tail":   func(b []byte) error { _, _, err := decodeTail(b); return err },
			"hello":  func(b []byte) error { _, err := decodeHello(b); return err },
		} {
			r := bufio.NewReader(bytes.NewReader(data))
			if err := readFrame(r, name, 1<<16, decode); errors.Is(err, io.EOF) {
				t.Fatalf("%s: a truncated frame gave io.EOF, expected another error", name)
			}
		}
		_, _, err := readControlFrame(bufio.NewReader(bytes.NewReader(data)), 1<<16)
		assert.Assert(t, !errors.Is(err, io.EOF))
		body := &bodyReader{r: bufio.NewReader(bytes.NewReader(data))}
		got, err := io.ReadAll(body)
		if err == nil {
			assert.Assert(t, body.complete())
			assert.Assert(t, len(got)+lengthSize <= len(data))
		}
	})
}

func TestEveryTruncatedBodyIsAnError(t *testing.T) {
	b := new(bytes.Buffer)
	for _, part := range []string{"a", "bcd", ""} {
		appendChunk(b, []byte(part))
	}
	for n := range b.Len() {
		body := &bodyReader{r: bufio.NewReader(bytes.NewReader(b.Bytes()[:n]))}
		_, err := io.ReadAll(body)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "body truncated after %d bytes", n)
	}
	whole, err := io.ReadAll(&bodyReader{r: bufio.NewReader(b)})
	assert.NilError(t, err)
	assert.Equal(t, string(whole), "abcd")
}
