package main

import (
	"net/http"
	"sync"
)

// storeFaults is a store of which single topics can be down: it answers 503 for them and does nothing, as a store that is down in
// part.
type storeFaults struct {
	next http.Handler
	mu   sync.Mutex
	down string
}

// setDown makes a topic be down, and an empty name none.
func (s *storeFaults) setDown(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = topic
}

// ServeHTTP refuses the calls for the topic that is down.
func (s *storeFaults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down != "" && r.URL.Query().Get("topic") == down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.next.ServeHTTP(w, r)
}
