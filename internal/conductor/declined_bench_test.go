package conductor

import (
	"fmt"
	"testing"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// BenchmarkRepeatedOffer measures the pick for a call that was declined by as many endpoints as its route allows. It must
// not grow with the number of endpoints.
func BenchmarkRepeatedOffer(b *testing.B) {
	for _, endpoints := range []int{36, 64, 300} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			c := newConductor("x")
			for i := range endpoints {
				learnMembers(c, peer(identifier.Node(fmt.Sprintf("n%03d", i)), "clock"))
			}
			definition := route("in", "clock", matcher.Idempotent)
			r := &call{
				service: "clock", route: &definition, reoffers: 1,
				reached: []identifier.Endpoint{"i-n003", "i-n021"}, excluded: []identifier.Endpoint{"i-n003", "i-n021"},
			}
			now := clock.Time(0)
			for b.Loop() {
				e, ok := c.pick(r, now)
				if !ok {
					b.Fatal("no endpoint")
				}
				c.router.Done(e.ID, router.Result{Outcome: router.Cancelled}, now)
			}
		})
	}
}
