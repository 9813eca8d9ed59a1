package pipeliner

// A request's head ends with its first empty line. net/http's server buffers whatever it reads together with the head,
// and then the start of the next request can't be found any more. Therefore the connection gives the server one head at
// a time.
//
// Example: "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /b": the head ends after 27 bytes.

// boundary finds the end of a head in bytes that arrive in pieces.
type boundary struct {
	// lineLength is the number of bytes in the current line; carriageReturn is whether its last byte is a carriage return.
	lineLength     int
	carriageReturn bool
}

// end returns how many of the bytes belong to the head, and whether the head ends there. As in net/http's parser, a line
// ends with a line feed, optionally preceded by one carriage return.
func (b *boundary) end(data []byte) (int, bool) {
	for i, c := range data {
		if c != '\n' {
			b.lineLength++
			b.carriageReturn = c == '\r'
			continue
		}
		empty := b.lineLength == 0 || b.lineLength == 1 && b.carriageReturn
		b.lineLength, b.carriageReturn = 0, false
		if empty {
			return i + 1, true
		}
	}
	return len(data), false
}
