package soaker

// Operators move, add, drop and retime routes, change the weights of a split, and issue and withdraw keys, singly, in bursts and
// beside hundreds of further routes, while callers probe each node for what is in force there. The store behaves oddly within what
// the platform allows.
//
// Example: /shift2/ goes to desk, then to clock with another timeout, is dropped, and comes back, 60 ms apart.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawtide/jackdawtide/platform"
	"github.com/jackdawtide/jackdawtide/platform/standin"
)

const (
	probingTeam = "probing"
	// probingKey is the key of the probes that test routes; it is never withdrawn.
	probingKey = "probing"
	// shiftingRoutes is the number of routes that operators change.
	shiftingRoutes = 4
	// fillerRoutes is how many further routes a large configuration has.
	fillerRoutes = 300
	// burstChanges and burstPause are the number of changes in a burst and the time between two of them.
	burstChanges = 6
	burstPause   = 60 * time.Millisecond
	// probeInterval is the time between two probes at a node; probingCaller is the number of the caller that sends them.
	probeInterval = 40 * time.Millisecond
	probingCaller = orderingCaller + 1
	probingSeed   = 30_000
	splitPrefix   = "/split/"
	fullWeight    = 100
)

// operatedConfiguration is the part of the configuration that operators change.
type operatedConfiguration struct {
	shifting [shiftingRoutes]standin.Route
	// splitWeight is the weight of the first service of the split route, of fullWeight.
	splitWeight int
	filler      int
	// keys are those in force, withdrawn those that are not any more, issued counts both.
	keys, withdrawn []string
	issued          int
}

func shiftPrefix(i int) string { return fmt.Sprintf("/shift%d/", i) }

func (o *operatedConfiguration) routes() (all []standin.Route) {
	for _, r := range o.shifting {
		if r.Name != "" {
			all = append(all, r)
		}
	}
	if o.splitWeight > 0 {
		all = append(all, standin.Route{
			Name: "split", Host: host, Prefix: splitPrefix, Kind: "idempotent", TimeoutMs: 800,
			Split: map[string]int{services[1]: o.splitWeight, services[2]: fullWeight - o.splitWeight},
		})
	}
	for i := range o.filler {
		all = append(all, standin.Route{
			Name: fmt.Sprint("filler-", i), Host: fmt.Sprintf("filler-%d.example", i), Prefix: fmt.Sprintf("/filler%d/", i), Service: services[2],
			Kind: "idempotent", TimeoutMs: 800,
		})
	}
	return all
}

// shift drops, adds, moves or retimes a random route.
func (o *operatedConfiguration) shift(random *rand.Rand) {
	i := random.IntN(shiftingRoutes)
	r := &o.shifting[i]
	if r.Name != "" && random.IntN(3) == 0 {
		*r = standin.Route{}
		return
	}
	*r = standin.Route{
		Name: fmt.Sprint("shift-", i), Host: host, Prefix: shiftPrefix(i), Service: services[1+random.IntN(2)], Kind: "idempotent",
		TimeoutMs: []int{400, 800}[random.IntN(2)],
	}
}

// changeKeys issues a key, and withdraws the oldest if there are more than two.
func (t *teams) changeKeys(s *standin.Store, record *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := &t.operated
	key := fmt.Sprint("probing-", o.issued)
	o.issued++
	record.AddKey(key, probingTeam, 0, 0)
	o.keys = append(o.keys, key)
	withdrawn := ""
	if len(o.keys) > 2 {
		withdrawn, o.keys = o.keys[0], o.keys[1:]
	}
	t.publish(s, record)
	if withdrawn != "" {
		o.withdrawn = append(o.withdrawn, withdrawn)
		record.AddWithdrawal(withdrawn, time.Now())
	}
}

// operate changes the operated part of the configuration and publishes it.
func (t *teams) operate(s *standin.Store, record *Record, change func(o *operatedConfiguration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.operated)
	t.publish(s, record)
}

// probeKey returns a key that is in force, or was.
func (t *teams) probeKey(random *rand.Rand) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := append([]string{probingKey}, t.operated.keys...)
	if n := len(t.operated.withdrawn); n > 0 {
		all = append(all, t.operated.withdrawn[n-1])
	}
	return all[random.IntN(len(all))]
}

// startOperators puts the first operated routes in force.
func (f *fleet) startOperators() {
	random := rand.New(rand.NewPCG(f.options.Seed, probingSeed-1))
	f.teams.operate(f.store, f.record, func(o *operatedConfiguration) {
		o.splitWeight = fullWeight / 2
		for range shiftingRoutes {
			o.shift(random)
		}
	})
}

// startProbing starts the caller at the node with the given number that probes what is in force there.
func (f *fleet) startProbing(ctx context.Context, n *node, number int, running *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(f.options.Seed, uint64(probingSeed+number)))
	running.Go(func() { f.runCaller(ctx, n, probingCaller, f.interval(probeInterval), random, f.drawProbe) })
}

func (f *fleet) drawProbe(random *rand.Rand, address, id string) (q standin.Request, team string, idempotent bool) {
	q = standin.Request{Address: address, Host: host, ID: id, Key: probingKey, Timeout: callTimeout}
	switch random.IntN(10) {
	case 0, 1, 2:
		q.Path = splitPrefix + "x"
	case 3, 4:
		q.Path, q.Key = "/look/x", f.teams.probeKey(random)
	case 5:
		q.Path = shiftPrefix(random.IntN(shiftingRoutes)) + standin.SlowPath[1:]
	default:
		q.Path = shiftPrefix(random.IntN(shiftingRoutes)) + "x"
	}
	return q, probingTeam, true
}

func quirkFault(name string, q standin.Quirk) fault {
	return disruptedStoreFault(name, func(s *standin.Store) { s.SetQuirk(q) }, func(s *standin.Store) { s.SetQuirk(standin.NoQuirk) })
}

// operatorFaults are changes by operators, odd behaviour of the store, and nodes that lack processor time.
var operatorFaults = []fault{
	{"routeShifted", func(f *fleet, n *node, d time.Duration) error { return f.shiftRoutes(f.randomFor(n, d), 1) }},
	{"routesShiftedInBurst", func(f *fleet, n *node, d time.Duration) error {
		return f.shiftRoutes(f.randomFor(n, d), burstChanges)
	}},
	{"largeConfiguration", func(f *fleet, n *node, d time.Duration) error {
		f.teams.operate(f.store, f.record, func(o *operatedConfiguration) { o.filler = fillerRoutes })
		err := f.shiftRoutes(f.randomFor(n, d), burstChanges)
		time.Sleep(d)
		f.teams.operate(f.store, f.record, func(o *operatedConfiguration) { o.filler = 0 })
		return err
	}},
	{"splitChanged", func(f *fleet, n *node, d time.Duration) error {
		weight := 20 + f.randomFor(n, d).IntN(61)
		f.teams.operate(f.store, f.record, func(o *operatedConfiguration) { o.splitWeight = weight })
		return nil
	}},
	{"keysChanged", func(f *fleet, _ *node, _ time.Duration) error { f.teams.changeKeys(f.store, f.record); return nil }},
	{"keysChangedInBurst", func(f *fleet, _ *node, _ time.Duration) error {
		for range burstChanges {
			f.teams.changeKeys(f.store, f.record)
			time.Sleep(burstPause)
		}
		return nil
	}},
	{"storeTrimmed", func(f *fleet, _ *node, _ time.Duration) error {
		f.record.AddStoreInstability()
		f.store.Trim()
		return nil
	}},
	{"operatorsTopicRecreated", func(f *fleet, n *node, d time.Duration) error {
		f.record.AddStoreInstability()
		f.store.Recreate(platform.OperatorsTopic)
		return f.shiftRoutes(f.randomFor(n, d), 1)
	}},
	quirkFault("storeAnswersInPart", standin.PartialAnswers),
	quirkFault("storeWritesLate", standin.LateWrites),
	quirkFault("operatorsTopicDown", standin.OperatorsTopicDown),
	quirkFault("membersTopicDown", standin.MembersTopicDown),
	{"nodeBusy", func(f *fleet, n *node, d time.Duration) error {
		defer f.record.BeginExcuse(n.name)()
		defer n.beginDisruption()()
		for end := time.Now().Add(d); time.Now().Before(end); {
			n.signal(syscall.SIGSTOP)
			time.Sleep(busySpan)
			n.signal(syscall.SIGCONT)
			time.Sleep(busySpan)
		}
		return nil
	}},
}

// busySpan is how long a busy node stands still, and then runs.
const busySpan = 15 * time.Millisecond

func (f *fleet) shiftRoutes(random *rand.Rand, changes int) error {
	for range changes {
		f.teams.operate(f.store, f.record, func(o *operatedConfiguration) { o.shift(random) })
		time.Sleep(burstPause)
	}
	return nil
}
