// An upload passes through a node while that node is stopped as planned.

package demonstrator

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/deliverer"
)

// callerUpdateDelay is how long callers take to learn that a node is no longer to be used.
const callerUpdateDelay = 100 * time.Millisecond

func (s *scenario) uploadThroughStop(ctx context.Context) {
	u := &s.audit.upload
	m, err := s.member(s.workload.stopped)
	if err != nil {
		u.failure = err.Error()
		return
	}
	began := time.Now()
	s.background.Go(func() {
		if pause(ctx, stopDelay) != nil {
			return
		}
		s.callers.removeNode(m.CallerURL())
		time.Sleep(callerUpdateDelay)
		s.mu.Lock()
		s.audit.stopped, s.audit.stoppedAt = m.Name, s.callers.now()
		s.mu.Unlock()
		if err := m.Node.Stop(ctx); err != nil {
			u.stopFailure = err.Error()
		}
		u.stoppedAfter = time.Since(began)
	})
	u.size = uploadPartCount * uploadPartBytes
	resp, err := s.upload(ctx, m.CallerURL())
	if err != nil {
		u.failure = err.Error()
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		u.failure = err.Error()
	}
	u.status, u.text = resp.StatusCode, string(text)
	u.answeredAfter = time.Since(began)
}

func (s *scenario) upload(ctx context.Context, nodeURL string) (*http.Response, error) {
	r, w := io.Pipe()
	s.background.Go(func() {
		part := make([]byte, uploadPartBytes)
		for range uploadPartCount {
			if _, err := w.Write(part); err != nil {
				return
			}
			time.Sleep(uploadPartInterval)
		}
		_ = w.Close()
	})
	q := s.workload.upload
	req, err := http.NewRequestWithContext(ctx, q.method, nodeURL+"/"+string(q.service)+q.path, r)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+s.fleet.Keys[s.workload.uploader])
	req.Header.Set(deliverer.DeadlineHeader, "20000")
	return s.callers.client.Do(req)
}
