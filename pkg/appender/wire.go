package appender

// These are the JSON messages of the log's protocol, as docs/LOG.md publishes it. The client and the stand-in for tests
// share them, so that a test against the stand-in tests the published protocol.
//
// Example: {"earliest":1,"next":3,"end":3,"records":[{"offset":2,"timeMs":1780000000000,"data":"aGk="}]}

import "encoding/json"

// Paths and limits of the protocol.
const (
	RecordsPath = "/records"
	// MaxRecord is the size in bytes of the largest record that the log accepts.
	MaxRecord = 1 << 20
	// MaxBatchBytes bounds the total size of the records in one answer, unless a single record is larger.
	MaxBatchBytes = 4 << 20
	// MaxLimit is the largest number of records in one answer, and the limit of a read that gives none.
	MaxLimit = 1000
)

type appendWire struct {
	Data []byte `json:"data"`
}

type offsetWire struct {
	Offset int64 `json:"offset"`
}

type recordWire struct {
	Offset int64  `json:"offset"`
	TimeMs int64  `json:"timeMs"`
	Data   []byte `json:"data"`
}

type batchWire struct {
	Earliest int64        `json:"earliest"`
	Next     int64        `json:"next"`
	End      int64        `json:"end"`
	Records  []recordWire `json:"records"`
}

// EncodeAppend returns the body of an append.
func EncodeAppend(data []byte) ([]byte, error) {
	return json.Marshal(appendWire{Data: data})
}

// DecodeAppend returns the record in the body of an append.
func DecodeAppend(body []byte) ([]byte, error) {
	var w appendWire
	err := json.Unmarshal(body, &w)
	return w.Data, err
}

// EncodeOffset returns the body of the answer to an append.
func EncodeOffset(o Offset) ([]byte, error) {
	return json.Marshal(offsetWire{Offset: int64(o)})
}

// DecodeOffset returns the offset in the answer to an append.
func DecodeOffset(body []byte) (Offset, error) {
	var w offsetWire
	err := json.Unmarshal(body, &w)
	return Offset(w.Offset), err
}

// EncodeBatch returns the body of the answer to a read.
func EncodeBatch(b Batch) ([]byte, error) {
	w := batchWire{
		Earliest: int64(b.Earliest),
		Next:     int64(b.Next),
		End:      int64(b.End),
		Records:  make([]recordWire, 0, len(b.Records)),
	}
	for _, r := range b.Records {
		w.Records = append(w.Records, recordWire{
			Offset: int64(r.Offset),
			TimeMs: int64(r.Time),
			Data:   r.Data,
		})
	}
	return json.Marshal(w)
}

// DecodeBatch returns the batch in the answer to a read.
func DecodeBatch(body []byte) (Batch, error) {
	var w batchWire
	if err := json.Unmarshal(body, &w); err != nil {
		return Batch{}, err
	}
	b := Batch{Earliest: Offset(w.Earliest), Next: Offset(w.Next), End: Offset(w.End)}
	for _, r := range w.Records {
		b.Records = append(b.Records, Record{
			Offset: Offset(r.Offset),
			Time:   Millis(r.TimeMs),
			Data:   r.Data,
		})
	}
	return b, nil
}
