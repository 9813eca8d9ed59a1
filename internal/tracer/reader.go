package tracer

// Log collectors put a time or a host name before each line and mix in lines of other programs. A line is therefore
// parsed from its first brace on, and lines that no node wrote are skipped.
//
// Example: "10.2 node-b {"msg":"attempt ended",...}" is read as the object alone.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// wireLine is a log line with the field names that nodes write.
type wireLine struct {
	Time       time.Time          `json:"time"`
	Node       string             `json:"node"`
	Message    string             `json:"msg"`
	Request    string             `json:"request"`
	Status     int                `json:"status"`
	Reason     string             `json:"reason"`
	AfterMs    int64              `json:"afterMs"`
	Endpoint   string             `json:"endpoint"`
	At         string             `json:"at"`
	Nested     bool               `json:"nested"`
	Outcome    string             `json:"outcome"`
	TookMs     int64              `json:"tookMs"`
	Running    int                `json:"running"`
	Queued     int                `json:"queued"`
	Limit      int                `json:"limit"`
	QueueMs    int64              `json:"queueMs"`
	Excesses   map[string]float64 `json:"excesses"`
	Dependency string             `json:"dependency"`
	Topic      string             `json:"topic"`
	Error      string             `json:"error"`
	Version    int64              `json:"version"`
	Suspended  int64              `json:"suspendedMs"`
	LeftOut    int                `json:"leftOut"`
	Connection string             `json:"connection"`
	Cause      string             `json:"cause"`
	Taken      int                `json:"taken"`
	Offers     []wireOffer        `json:"offers"`
}

// wireOffer is one of the offers in a line.
type wireOffer struct {
	Endpoint   string `json:"endpoint"`
	At         string `json:"at"`
	Connection string `json:"connection"`
	Outcome    string `json:"outcome"`
	Status     int    `json:"status"`
	SentMs     int64  `json:"sentMs"`
	TookMs     int64  `json:"tookMs"`
}

// maxLineBytes is the upper bound of one line: a load line names every service, at about 30 bytes each.
const maxLineBytes = 1 << 20

// Read returns the lines that nodes wrote to a log.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		brace := bytes.IndexByte(s.Bytes(), '{')
		if brace < 0 {
			continue
		}
		var w wireLine
		if err := json.Unmarshal(s.Bytes()[brace:], &w); err != nil || w.Node == "" || w.Message == "" {
			continue
		}
		lines = append(lines, fromWire(w))
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

func fromWire(w wireLine) Line {
	return Line{
		Time:       w.Time,
		Node:       w.Node,
		Message:    w.Message,
		Request:    w.Request,
		Status:     w.Status,
		Reason:     w.Reason,
		After:      milliseconds(w.AfterMs),
		Endpoint:   w.Endpoint,
		At:         w.At,
		Nested:     w.Nested,
		Outcome:    w.Outcome,
		Took:       milliseconds(w.TookMs),
		Running:    w.Running,
		Queued:     w.Queued,
		Limit:      w.Limit,
		QueueDelay: milliseconds(w.QueueMs),
		Excesses:   w.Excesses,
		Detail:     detail(w),
		LeftOut:    w.LeftOut,
		Connection: w.Connection,
		Taken:      w.Taken,
		Offers:     offersOf(w),
	}
}

func offersOf(w wireLine) (offers []Offer) {
	for _, o := range w.Offers {
		offers = append(offers, Offer{
			Endpoint:   o.Endpoint,
			At:         o.At,
			Connection: o.Connection,
			Outcome:    o.Outcome,
			Status:     o.Status,
			Sent:       milliseconds(o.SentMs),
			Took:       milliseconds(o.TookMs),
		})
	}
	return offers
}

func detail(w wireLine) string {
	switch {
	case w.Suspended > 0:
		return fmt.Sprintf("for %d ms", w.Suspended)
	case w.Error != "":
		return fmt.Sprintf("%s%s: %s", w.Dependency, w.Topic, w.Error)
	case w.Version > 0:
		return fmt.Sprintf("version %d", w.Version)
	default:
		return w.Dependency + w.Topic + w.Cause
	}
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
