package pipeliner

// A request's head ends with its first empty line. The standard server hands on whatever it has read with the head, so
// that nobody can tell where the next request begins; the connection therefore hands out one head at a time.
//
// Example: "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /b": the head ends after 27 bytes.

// boundary finds the end of a head in bytes that come piece by piece.
type boundary struct {
	// lineLength is how many bytes the present line has, return its last byte is a carriage return.
	lineLength     int
	carriageReturn bool
}

// end returns how many of the bytes belong to the head, and whether it ends there. Lines end as the standard server's
// parser takes them to: with a line feed, which one carriage return may precede.
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
