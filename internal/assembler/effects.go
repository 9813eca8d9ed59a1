// The effectRunner carries out the reducer's effects on other processes, without holding the performer's lock. A slow peer
// or log must not delay calls, so each kind of effect has its own bounded queue. Effects that do not fit are dropped, like
// messages lost by the network; the reducer's parts send again what they still need.

package assembler

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/encoder"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
	"github.com/jackdawtide/jackdawtide/internal/transporter"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

const (
	sendQueueSize   = 8192
	appendQueueSize = 1024
	logQueueSize    = 1024
	maxReadRecords  = 500
	// readWait is how long one read waits for a new record, and so the upper bound on the age of an idle log's last answer.
	readWait         = time.Second
	readTimeout      = 5 * time.Second
	appendTimeout    = 2 * time.Second
	appendRetryPause = 200 * time.Millisecond
)

// effectRunner carries out effects on other processes.
type effectRunner struct {
	clock       *clock.Clock
	logger      *log.Logger
	log         appender.Log
	transporter *transporter.Transporter

	sends    chan reducer.Send
	appends  chan reducer.Append
	reads    chan reducer.ReadLog
	logLines chan reducer.Log
}

func newEffectRunner(c *clock.Clock, logger *log.Logger, l appender.Log, t *transporter.Transporter) *effectRunner {
	return &effectRunner{
		clock:       c,
		logger:      logger,
		log:         l,
		transporter: t,
		sends:       make(chan reducer.Send, sendQueueSize),
		appends:     make(chan reducer.Append, appendQueueSize),
		reads:       make(chan reducer.ReadLog, 1),
		logLines:    make(chan reducer.Log, logQueueSize),
	}
}

// Send queues a control message.
func (er *effectRunner) Send(e reducer.Send) { offer(er.sends, e) }

// Append queues a record.
func (er *effectRunner) Append(e reducer.Append) { offer(er.appends, e) }

// ReadLog queues a read.
func (er *effectRunner) ReadLog(e reducer.ReadLog) { offer(er.reads, e) }

// Log queues a log line.
func (er *effectRunner) Log(e reducer.Log) { offer(er.logLines, e) }

func offer[T any](queue chan T, v T) {
	select {
	case queue <- v:
	default:
	}
}

// run starts the goroutines that process the queues until ctx is cancelled.
func (er *effectRunner) run(ctx context.Context, apply func(reducer.Event)) {
	go er.runSends(ctx)
	go er.runAppends(ctx)
	go er.runReads(ctx, apply)
	go er.runLogLines(ctx)
}

func (er *effectRunner) runSends(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-er.sends:
			er.sendOne(e)
		}
	}
}

func (er *effectRunner) sendOne(e reducer.Send) {
	b, err := encoder.Encode(e.Message)
	if err != nil {
		er.logger.Error("message cannot be encoded", "error", err)
		return
	}
	err = er.transporter.SendControl(transporter.Peer{Node: e.To, Address: e.Address}, b)
	if err != nil {
		er.logger.Debug("message not sent", "to", e.To, "error", err)
	}
}

func (er *effectRunner) runAppends(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-er.appends:
			er.appendOne(ctx, e)
		}
	}
}

// A claim is appended once: the claimer reads it back from the log and appends it again itself if necessary. Other records
// are retried here until the log has accepted them, because no other part retries them; only a full queue drops them.
func (er *effectRunner) appendOne(ctx context.Context, e reducer.Append) {
	b, err := encoder.Encode(e.Record)
	if err != nil {
		er.logger.Error("record cannot be encoded", "error", err)
		return
	}
	attempt, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = er.log.Append(attempt, b)
	if err == nil {
		return
	}
	er.logger.Debug("record not appended", "error", err)
	if _, isClaim := e.Record.(claimer.Claim); isClaim {
		return
	}
	time.AfterFunc(appendRetryPause, func() { er.Append(e) })
}

func (er *effectRunner) runReads(ctx context.Context, apply func(reducer.Event)) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-er.reads:
			apply(er.readOne(ctx, e))
		}
	}
}

func (er *effectRunner) readOne(ctx context.Context, e reducer.ReadLog) reducer.Event {
	from := appender.Offset(e.From)
	b, err := er.read(ctx, from)
	var expired appender.Expired
	if errors.As(err, &expired) {
		b, err = er.read(ctx, expired.Earliest)
	}
	if err != nil {
		er.logger.Debug("log not read", "error", err)
		return &reducer.LogFailed{}
	}
	event := &reducer.RecordsRead{
		Earliest: identifier.Offset(b.Earliest),
		Next:     identifier.Offset(b.End),
		Asked:    e.Asked,
		Wall:     er.clock.Wall(),
	}
	for _, r := range b.Records {
		event.Records = append(event.Records, reducer.LogRecord{
			Offset: identifier.Offset(r.Offset),
			Data:   r.Data,
		})
	}
	return event
}

func (er *effectRunner) read(parent context.Context, from appender.Offset) (appender.Batch, error) {
	ctx, cancel := context.WithTimeout(parent, readTimeout)
	defer cancel()
	return er.log.Read(ctx, from, maxReadRecords, readWait)
}

func (er *effectRunner) runLogLines(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-er.logLines:
			er.logger.Info(e.Message, e.Fields...)
		}
	}
}
