package soaker

// Faults that play hard load: a service declines a part of its requests, or its endpoints turn slow and fast several times a
// second and say so in their load reports, some of them wrongly. The parts, paces and kinds of reports are derived from the
// seed, the node's name and the length of the fault.
//
// Example: i-2 runs 2.4 times as long as usual and reports "3,0,16,240"; 200 ms later it reports "1,0,16,75".

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

const (
	// minLoadTime is the shortest time for which a service declines or is paced: the nodes act on sums that need about
	// half a second, and the reaction to them is to be seen as well.
	minLoadTime = 2 * time.Second
	// minDeclined and maxDeclined bound the part of its requests that a service declines.
	minDeclined, maxDeclined = 0.3, 0.6
	// paceInterval is the time between two paces of an endpoint.
	paceInterval = 200 * time.Millisecond
	// usualPace, minPace and maxPace are percentages. At maxPace an endpoint with 270 requests a second of 10 ms has half of
	// its slots in use.
	usualPace, minPace, maxPace = 100, 50, 300
)

// loadFaults are the faults that play hard load, each at all endpoints of a service.
var loadFaults = []fault{
	{"decline", func(f *fleet, n *node, d time.Duration) error {
		part := minDeclined + f.randomFor(n, d).Float64()*(maxDeclined-minDeclined)
		for _, other := range f.nodesOf(n.service) {
			other.condition.setDeclined(part)
			defer other.condition.setDeclined(0)
		}
		time.Sleep(minLoadTime + d)
		return nil
	}},
	{"pace", func(f *fleet, n *node, d time.Duration) error {
		var all sync.WaitGroup
		for _, other := range f.nodesOf(n.service) {
			all.Go(func() { other.condition.runPaces(f.randomFor(other, d), minLoadTime+d) })
		}
		all.Wait()
		return nil
	}},
}

// randomFor returns a random generator for a fault of a node.
func (f *fleet) randomFor(n *node, d time.Duration) *rand.Rand {
	return rand.New(rand.NewPCG(f.options.Seed, xxh3.HashString(n.name)+uint64(d)))
}

// condition is what the endpoint beside a node does besides running requests as usual.
type condition struct {
	mu       sync.Mutex
	declined float64
	current  pace
	spoiled  spoiledAnswers
}

// pace is how long an endpoint's runs take, as a percentage of the usual time, and what it reports. In the report,
// runningFigure stands for the number of runs in progress.
type pace struct {
	percent int
	report  string
}

const runningFigure = "running"

func (c *condition) setDeclined(part float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.declined = part
}

func (c *condition) setPace(p pace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = p
}

// draw returns the condition for one request or answer.
func (c *condition) draw(running int) standin.Condition {
	c.mu.Lock()
	defer c.mu.Unlock()
	return standin.Condition{
		Declines:   rand.Float64() < max(c.declined, c.spoiled.declined),
		Fault:      c.spoiled.drawFault(),
		Slowdown:   float64(c.current.percent) / usualPace,
		LoadReport: strings.ReplaceAll(c.current.report, runningFigure, strconv.Itoa(running)),
	}
}

// runPaces changes the endpoint's pace until the time has passed; the endpoint reports in one way throughout.
func (c *condition) runPaces(random *rand.Rand, d time.Duration) {
	reporter := drawReporter(random)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(paceInterval) {
		c.setPace(reporter(randomPercent(random)))
	}
	c.setPace(pace{})
}

func randomPercent(random *rand.Rand) int {
	return minPace + random.IntN(maxPace-minPace+1)
}

// reporter returns what an endpoint does and reports when the drawn pace is the given percentage.
type reporter func(percent int) pace

func loadReport(percent int) string {
	return fmt.Sprintf("%s,0,%d,%d", runningFigure, slots, percent)
}

// unreadableReports are texts that are no load report.
var unreadableReports = []string{
	"busy", "running,0,16,-100", "-1,0,16,100", "running,0,0,100", "running,0,16,1000000", "running,0,16,nan", "running,0,16,1e2",
	"running,0,16,100,1", "running", ",,,", "running,0,16,",
}

func reportsTruly(percent int) pace { return pace{percent: percent, report: loadReport(percent)} }

func reportsUsual(percent int) pace { return pace{percent: percent, report: loadReport(usualPace)} }

func pretendsPercent(percent int) pace { return pace{percent: usualPace, report: loadReport(percent)} }

func reportsUnreadably(percent int) pace {
	return pace{percent: percent, report: unreadableReports[percent%len(unreadableReports)]}
}

// reportsStill returns a reporter whose report stays as it was at the given percentage, with one run in progress.
func reportsStill(first int) reporter {
	still := strings.ReplaceAll(loadReport(first), runningFigure, "1")
	return func(percent int) pace { return pace{percent: percent, report: still} }
}

// drawReporter returns a reporter that is true as often as all others together.
func drawReporter(random *rand.Rand) reporter {
	reporters := []reporter{reportsUsual, pretendsPercent, reportsUnreadably, reportsStill(randomPercent(random))}
	if i := random.IntN(2 * len(reporters)); i < len(reporters) {
		return reporters[i]
	}
	return reportsTruly
}
