// A stand-in for a backend server answers fewer calls than its slots and service time allow, since its timer and HTTP
// take time too. With the nominal capacity the ideal would be more than any policy could reach, so the capacity is
// measured first, by direct calls from more callers than slots.
//
// Example: 6 slots of 25 ms have a nominal capacity of 240 calls a second, and a measured one of 228 on a busy machine.

package overloader

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/responder"
)

const (
	calibrationWarmUp = 500 * time.Millisecond
	calibrationTime   = 2 * time.Second
	callersPerSlot    = 2
)

// measureEndpointCapacity returns how many calls a second one endpoint of the deep service answers at its usual
// service time.
func measureEndpointCapacity(ctx context.Context, seed uint64) (float64, error) {
	s, err := responder.Listen(responder.Options{
		Endpoint:    "calibration",
		Listen:      "127.0.0.1:0",
		Slots:       deepSlots,
		ServiceTime: deepServiceTime,
		Seed:        seed,
	})
	if err != nil {
		return 0, err
	}
	defer s.Crash()
	client := newClient()
	defer client.CloseIdleConnections()
	var stop atomic.Bool
	var group sync.WaitGroup
	for range deepSlots * callersPerSlot {
		group.Go(func() {
			for !stop.Load() {
				callOnce(ctx, client, s.Address())
			}
		})
	}
	time.Sleep(calibrationWarmUp)
	before := s.Served()
	time.Sleep(calibrationTime)
	after := s.Served()
	stop.Store(true)
	group.Wait()
	return float64(after-before) / calibrationTime.Seconds(), ctx.Err()
}

func callOnce(ctx context.Context, client *http.Client, address string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", http.NoBody)
	if err != nil {
		return
	}
	do(client, req)
}
