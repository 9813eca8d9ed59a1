package pipeliner

// A chunked body ends with its trailer section, and the next request may follow at once. The connection has to know that end
// before net/http's reader finds it, since that one reads into a buffer. Therefore the scanner accepts what net/http accepts,
// except a trailer section that ends with bare line feeds: net/http looks for two CRLF behind it, which may belong to a later
// request.
//
// Example: "5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\nGET /b": the body ends after 25 bytes.

// chunkState is what the next byte of a chunked body belongs to.
type chunkState uint8

const (
	// chunkSize: a digit of the chunk size, or what ends it.
	chunkSize chunkState = iota
	// chunkPadding: the space between the chunk size and its line end.
	chunkPadding
	// chunkExtension: a chunk extension.
	chunkExtension
	// chunkLineFeed: the line feed that ends the chunk size.
	chunkLineFeed
	// chunkData: the data, which needs no look at each byte.
	chunkData
	// chunkDataReturn, chunkDataLineFeed: the CRLF behind the data.
	chunkDataReturn
	chunkDataLineFeed
	// chunkTrailer: the trailer section.
	chunkTrailer
	// chunkEnded: the body has ended.
	chunkEnded
	// chunkMalformed: net/http rejects the body, or its end is not certain.
	chunkMalformed
)

const (
	// maxChunkSizeDigits is that of net/http.
	maxChunkSizeDigits = 16
	// lastChunkBytes is the length of the shortest end of a body: "0", CRLF, CRLF.
	lastChunkBytes = 5
	// maxLeast bounds what least returns for a chunk of any size; no buffer is larger.
	maxLeast = 1 << 30
)

// chunks finds the end of a chunked body in bytes that arrive in pieces.
type chunks struct {
	state chunkState
	// digits is the number of digits of the chunk size, left how many bytes of data the chunk still has.
	digits uint8
	left   uint64
	// lineLength is the number of bytes in the current line of the trailer section; carriageReturn is whether its last byte is
	// a carriage return, and bareLineFeed whether the line before ends without one.
	lineLength     int
	carriageReturn bool
	bareLineFeed   bool
}

// end returns how many of the bytes belong to the body, and whether the body ends there. All bytes of a malformed body belong
// to it.
func (c *chunks) end(data []byte) (int, bool) {
	for i := 0; i < len(data); {
		if c.state == chunkData {
			n := min(uint64(len(data)-i), c.left)
			i += int(n)
			c.left -= n
			if c.left == 0 {
				c.state = chunkDataReturn
			}
			continue
		}
		c.state = c.next(data[i])
		i++
		switch c.state {
		case chunkEnded:
			return i, true
		case chunkMalformed:
			return len(data), false
		}
	}
	return len(data), false
}

// next returns the state after a byte outside the data.
func (c *chunks) next(b byte) chunkState {
	switch c.state {
	case chunkSize:
		if digit, ok := hexDigit(b); ok && c.digits < maxChunkSizeDigits {
			c.left = c.left<<4 | digit
			c.digits++
			return chunkSize
		}
		if c.digits > 0 && b == ';' {
			return chunkExtension
		}
		if c.digits > 0 {
			return afterSize(b)
		}
	case chunkPadding:
		return afterSize(b)
	case chunkExtension:
		switch b {
		case '\r':
			return chunkLineFeed
		case '\n':
			return chunkMalformed
		}
		return chunkExtension
	case chunkLineFeed:
		c.digits = 0
		switch {
		case b == '\n' && c.left > 0:
			return chunkData
		case b == '\n':
			return chunkTrailer
		}
	case chunkDataReturn:
		if b == '\r' {
			return chunkDataLineFeed
		}
	case chunkDataLineFeed:
		if b == '\n' {
			return chunkSize
		}
	case chunkTrailer:
		return c.nextInTrailer(b)
	}
	return chunkMalformed
}

func afterSize(b byte) chunkState {
	switch b {
	case ' ', '\t':
		return chunkPadding
	case '\r':
		return chunkLineFeed
	}
	return chunkMalformed
}

func (c *chunks) nextInTrailer(b byte) chunkState {
	if b != '\n' {
		c.lineLength++
		c.carriageReturn = b == '\r'
		return chunkTrailer
	}
	bare := !c.carriageReturn
	empty := c.lineLength == 0 || c.lineLength == 1 && !bare
	switch {
	case empty && (bare || c.bareLineFeed):
		return chunkMalformed
	case empty:
		return chunkEnded
	}
	c.lineLength, c.carriageReturn, c.bareLineFeed = 0, false, bare
	return chunkTrailer
}

func hexDigit(b byte) (uint64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return uint64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return uint64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return uint64(b-'A') + 10, true
	}
	return 0, false
}

// least returns how many bytes the body has at least until its end; a read of as many reads nothing behind it.
func (c *chunks) least() int {
	behindData := uint64(len("\r\n") + lastChunkBytes)
	switch c.state {
	case chunkSize, chunkPadding, chunkExtension, chunkLineFeed:
		lineEnd := uint64(2)
		if c.state == chunkLineFeed {
			lineEnd = 1
		}
		switch {
		case c.state == chunkSize && c.digits == 0:
			return lastChunkBytes
		case c.left == 0:
			return int(lineEnd) + len("\r\n")
		}
		return int(lineEnd + min(c.left, maxLeast) + behindData)
	case chunkData:
		return int(min(c.left, maxLeast) + behindData)
	case chunkDataReturn:
		return int(behindData)
	case chunkDataLineFeed:
		return int(behindData) - 1
	case chunkTrailer:
		switch {
		case c.lineLength == 1 && c.carriageReturn:
			return 1
		case c.lineLength == 0:
			return 2
		case c.carriageReturn:
			return 3
		}
		return 4
	}
	return maxLeast
}
