// A node keeps the newest records to send them to peers that are behind. The records form one contiguous range of the
// log, [start, next): a range with a hole would make every requesting node lose the same records.
//
// Example: with start 10 and next 40, a peer at 25 gets 25..39, and a peer at 3 gets the whole configuration first.

package configurer

import (
	"sort"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Upper bounds of one Tail message.
const (
	maxTailRecords = 256
	maxTailBytes   = 64 << 10
)

type tail struct {
	start, next identifier.Offset
	records     []Record
	bytes       int
}

func (t *tail) add(r Record, maxRecords, maxBytes int) {
	t.records = append(t.records, r)
	t.bytes += len(r.Raw)
	t.next = r.Offset + 1
	drop := 0
	for len(t.records)-drop > maxRecords || (t.bytes > maxBytes && len(t.records)-drop > 1) {
		t.bytes -= len(t.records[drop].Raw)
		t.start = t.records[drop].Offset + 1
		drop++
	}
	t.records = t.records[drop:]
}

// jump drops all records and continues at an offset.
func (t *tail) jump(to identifier.Offset) {
	*t = tail{start: to, next: to}
}

// from returns the message that continues at an offset within [start, next].
func (t *tail) from(offset identifier.Offset) Tail {
	i := sort.Search(len(t.records), func(i int) bool { return t.records[i].Offset >= offset })
	m := Tail{From: offset, Next: t.next, End: t.next}
	bytes := 0
	for n := i; n < len(t.records); n++ {
		r := t.records[n]
		if n-i == maxTailRecords || (n > i && bytes+len(r.Raw) > maxTailBytes) {
			m.Next = r.Offset
			break
		}
		bytes += len(r.Raw)
		m.Records = append(m.Records, r)
	}
	return m
}
