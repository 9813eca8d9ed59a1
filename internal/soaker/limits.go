package soaker

// An endpoint that names a rate limit changes it a few times: it raises and lowers it, and once in a while an answer holds
// text that is no limit. The sequence of changes is derived from the seed and the endpoint's name.

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// limitChanges is how many limits an endpoint names one after the other.
	limitChanges = 3
	// minLimitTime is the shortest time for which one limit is named: with fewer than two windows in all, few windows
	// would lie wholly within the limited period.
	minLimitTime = 3 * time.Second
	// maxLimit is the highest limit in requests a second; an endpoint gets at least 80 without one.
	maxLimit = 60
)

// nonsenseLimits are texts that name no limit.
var nonsenseLimits = []string{"-5", "nan", "many", "1,5", "inf", "0x10"}

// limitFor makes the endpoints of the given nodes name limits, and lifts them in the end.
func (f *fleet) limitFor(d time.Duration, nodes ...*node) {
	var all sync.WaitGroup
	for _, n := range nodes {
		all.Add(1)
		go func() {
			defer all.Done()
			f.nameLimits(n, d)
		}()
	}
	all.Wait()
}

func (f *fleet) nameLimits(n *node, d time.Duration) {
	if !n.limiting.CompareAndSwap(false, true) {
		return
	}
	defer n.limiting.Store(false)
	random := rand.New(rand.NewPCG(f.options.Seed, xxh3.HashString(n.name)+uint64(d)))
	for range limitChanges {
		f.setLimit(n, randomLimit(random))
		time.Sleep(minLimitTime + d/limitChanges)
	}
	f.record.AddUnreadableLimit(n.instance, time.Now())
	n.backend.SetLimit(nonsenseLimits[random.IntN(len(nonsenseLimits))])
	time.Sleep(minLimitTime / 2)
	f.liftLimit(n)
}

// randomLimit returns 0 at times, and otherwise a limit with a fraction, low ones as often as high ones.
func randomLimit(random *rand.Rand) float64 {
	switch random.IntN(6) {
	case 0:
		return 0
	case 1, 2:
		return float64(random.IntN(100)) / 10
	default:
		return float64(random.IntN(10*maxLimit)) / 10
	}
}

func (f *fleet) setLimit(n *node, perSecond float64) {
	f.record.AddLimit(n.instance, time.Now(), perSecond)
	n.backend.SetLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
}

func (f *fleet) liftLimit(n *node) {
	n.backend.SetLimit("")
	f.record.AddLimitLifted(n.instance, time.Now())
}
