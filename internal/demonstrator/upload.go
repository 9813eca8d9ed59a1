// An upload is on its way through a node while that node is stopped as planned.

package demonstrator

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/deliverer"
)

// listenerGrace is how long callers take to learn that a node is not to be used any more.
const listenerGrace = 100 * time.Millisecond

func (s *scenario) uploadThroughStop(ctx context.Context) {
	u := &s.account.upload
	m, err := s.member(s.story.stopped)
	if err != nil {
		u.failure = err.Error()
		return
	}
	began := time.Now()
	s.side.Go(func() {
		if pause(ctx, stopAfter) != nil {
			return
		}
		s.callers.avoid(m.CallerURL())
		time.Sleep(listenerGrace)
		s.mu.Lock()
		s.account.stopped, s.account.stoppedAt = m.Name, s.callers.now()
		s.mu.Unlock()
		if err := m.Node.Stop(ctx); err != nil {
			u.stopFailure = err.Error()
		}
		u.stoppedAfter = time.Since(began)
	})
	u.size = uploadParts * uploadPart
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

func (s *scenario) upload(ctx context.Context, entry string) (*http.Response, error) {
	r, w := io.Pipe()
	s.side.Go(func() {
		part := make([]byte, uploadPart)
		for range uploadParts {
			if _, err := w.Write(part); err != nil {
				return
			}
			time.Sleep(uploadPause)
		}
		_ = w.Close()
	})
	q := s.story.upload
	req, err := http.NewRequestWithContext(ctx, q.method, entry+"/"+string(q.service)+q.path, r)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+s.fleet.Keys[s.story.uploader])
	req.Header.Set(deliverer.DeadlineHeader, "20000")
	return s.callers.client.Do(req)
}
