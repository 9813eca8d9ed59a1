package mesher

// Two topics of the platform's store are followed: the operators', for the configuration, evacuations and the proof that these
// are the newest, and the nodes' own, for who is there.
//
// Example: a configuration that can't be put in force leaves a line with the field that is wrong, and the old one.

import (
	"context"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/watcher"
)

const (
	// maxStoreLateness is how much later than asked an answer may come: the store's round trip of some 10 ms, sixty times
	// as much on its slow days.
	maxStoreLateness = 700 * clock.Millisecond
	// membersReadWait is how long a read of the members waits; nothing is proved by it, so only its price counts, and it is
	// the longest that stores of this kind allow.
	membersReadWait = 30 * clock.Second
	// membersReadPause gathers the records of nodes that start together: 14 nodes that read each by itself made 266 calls in
	// their first 15 s. Changes while they run come with the reports.
	membersReadPause = clock.Second
	// configurationReadPause gathers configurations that come in quick succession. A fifth of the time in which a change must be in
	// force.
	configurationReadPause = 400 * clock.Millisecond
)

func (n *node) newConfigurationWatcher() *watcher.Watcher {
	return watcher.New(watcher.Options{
		Topic: relayedTopic{Topic: n.options.Platform.Operators, node: n},
		Wait:  n.readWait,
		Rest:  configurationReadPause,
		Slack: maxStoreLateness,

		Backoff: n.storeBackoff,
		Now:     clock.Boot{}.Now,
		Took:    n.applyOrders,
		Lost: func(err error) {
			n.recorder.Event("store lost", "topic", "operators", "error", err.Error())
		},
		Regained: func() { n.recorder.Event("store regained", "topic", "operators") },
	})
}

// relayedBackoff is the wait between failed calls of the store for a node that a collector tells of proofs and members: those
// come with the reports, soon after the collector has them. Trying like a collector, 195 nodes would make a thousand calls
// in an outage of some seconds.
var relayedBackoff = watcher.Backoff{First: 100 * clock.Millisecond, Most: 4 * clock.Second, Factor: 20}

func (n *node) storeBackoff() watcher.Backoff {
	reliedOn := false
	n.relayer.View(func(c *conductor.Conductor, now clock.Time) { reliedOn = c.FollowsStore(now) || c.CollectsForDomain(now) })
	if reliedOn {
		return watcher.DefaultBackoff
	}
	return relayedBackoff
}

func (n *node) readWait() (wait clock.Duration) {
	boot := clock.Boot{}.Now()
	n.relayer.View(func(c *conductor.Conductor, now clock.Time) { wait = c.ReadWait(now, boot) })
	return wait
}

func (n *node) applyOrders(u watcher.Update) {
	merged := n.orders.merge(u, n.isOrder)
	for _, r := range merged.configurations(n.options.Platform.ConfigurationKey) {
		n.applyConfiguration(r)
	}
	if merged.evacuations {
		n.applyEvacuations()
	}
	if len(merged.records) > 0 {
		n.relayer.ApplyEvent(conductor.OrdersRead{Next: n.orders.next()})
		// Its collector's proof comes at once, so that the node need not ask the store for its own.
		n.exchangeSoon()
	}
	if !u.Complete {
		return
	}
	var version identifier.Version
	n.relayer.View(func(c *conductor.Conductor, _ clock.Time) { version = c.Version() })
	n.relayer.ApplyEvent(conductor.ConfigurationProved{Version: version, AsOf: u.AsOf})
}

// isOrder tells whether a key is one that nodes follow, and whether it asks for an evacuation.
func (n *node) isOrder(key string) (followed, evacuation bool) {
	if n.options.Platform.EvacuatedDomain != nil {
		_, evacuation = n.options.Platform.EvacuatedDomain(key)
	}
	return evacuation || key == n.options.Platform.ConfigurationKey, evacuation
}

// applyEvacuations puts in force which failure domains are evacuated.
func (n *node) applyEvacuations() {
	domains := []identifier.FailureDomain{}
	newest := identifier.Offset(-1)
	for _, r := range n.orders.all() {
		domain, ok := n.options.Platform.EvacuatedDomain(r.Key)
		if !ok {
			continue
		}
		newest = max(newest, r.Offset)
		if len(r.Value) > 0 {
			domains = append(domains, domain)
		}
	}
	n.recorder.Event("evacuations read", "domains", domains, "offset", int64(newest))
	n.relayer.ApplyEvent(conductor.DomainsEvacuated{Domains: domains})
}

func (n *node) applyConfiguration(r watcher.Record) {
	refuse := func(err error) {
		n.recorder.Event("configuration refused", "offset", int64(r.Offset), "error", err.Error())
	}
	configuration, err := n.options.Platform.Decode(r.Value)
	if err != nil {
		refuse(err)
		return
	}
	m, err := matcher.New(configuration)
	if err != nil {
		refuse(err)
		return
	}
	if err := m.CheckRegions(n.options.Settings.Regions); err != nil {
		refuse(err)
		return
	}
	n.relayer.ApplyEvent(conductor.ConfigurationRead{Matcher: m, At: clock.Boot{}.Now()})
	n.recorder.Event("configuration read", "version", int64(m.Version()), "offset", int64(r.Offset))
}

func (n *node) watchMembers(ctx context.Context) {
	w := watcher.New(watcher.Options{
		Topic: n.options.Platform.Members,
		Wait:  func() clock.Duration { return membersReadWait },
		Need:  n.followsStore,
		Rest:  membersReadPause,
		Slack: maxStoreLateness,

		Backoff: n.storeBackoff,
		Now:     clock.Boot{}.Now,
		Took:    n.applyMembers,
		Lost: func(err error) {
			n.recorder.Event("store lost", "topic", "members", "error", err.Error())
		},
		Regained: func() { n.recorder.Event("store regained", "topic", "members") },
	})
	w.Run(ctx)
}

func (n *node) followsStore() (follows bool) {
	n.relayer.View(func(c *conductor.Conductor, now clock.Time) { follows = c.FollowsStore(now) })
	return follows
}

func (n *node) applyMembers(u watcher.Update) {
	for _, r := range u.Records {
		if len(r.Value) == 0 {
			n.relayer.ApplyEvent(conductor.MemberLearned{
				Member:  exchanger.Member{Node: identifier.Node(r.Key)},
				Dropped: true,
			})
			continue
		}
		m, err := exchanger.DecodeMember(r.Value)
		if err != nil {
			n.recorder.Event("member refused", "key", r.Key, "error", err.Error())
			continue
		}
		n.relayer.ApplyEvent(conductor.MemberLearned{Member: m})
	}
	if len(u.Records) > 0 {
		n.exchangeSoon()
	}
}

// publish queues this node's record; when the queue is full the oldest change makes room, since only the newest
// counts.
func (n *node) publish(m exchanger.Member) {
	for {
		select {
		case n.records <- m:
			n.exchangeSoon()
			return
		default:
		}
		select {
		case <-n.records:
		default:
		}
	}
}

const (
	// writeTimeout bounds one write of the record.
	writeTimeout = clock.Second
	// firstWritePause and longestWritePause bound the wait before the next try: a record is back soon after the store is.
	firstWritePause   = 300 * clock.Millisecond
	maxWritePause = 1500 * clock.Millisecond
)

// writeRecords writes the newest of this node's records, and tries again until it is written or a newer one comes.
func (n *node) writeRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-n.records:
			for pending := true; pending; {
				m, pending = n.writeRecord(ctx, m)
			}
		}
	}
}

const (
	// recordTimeout is how long the acknowledgement of an endpoint's leaving waits for the record: less than half of the second
	// in which it must come. While the store is away the leaving is acknowledged without.
	recordTimeout = 400 * clock.Millisecond
	// recordPollPeriod is the time between two looks; a write takes 4 ms on a calm day.
	recordPollPeriod = 3 * clock.Millisecond
)

// awaitRecord waits until this node's present record is in the store. A node that is killed right after it acknowledged
// that its endpoint leaves starts again by that record, and must not take the endpoint for one that stays.
func (n *node) awaitRecord() {
	var want int64
	n.relayer.View(func(c *conductor.Conductor, _ clock.Time) { want = c.Self().Sequence })
	for end := n.clock.Now().Add(recordTimeout); n.writtenSequence.Load() < want && n.clock.Now() < end; {
		time.Sleep(recordPollPeriod.Std())
	}
}

// writeRecord tries until the record is written. It ends early with a newer record, which is to be written instead.
func (n *node) writeRecord(ctx context.Context, m exchanger.Member) (exchanger.Member, bool) {
	data, err := exchanger.EncodeMember(m)
	if err != nil {
		n.recorder.Event("record not encoded", "error", err.Error())
		return m, false
	}
	for pause := firstWritePause; ctx.Err() == nil; pause = min(maxWritePause, 2*pause) {
		limited, cancel := context.WithTimeout(ctx, writeTimeout.Std())
		err := n.options.Platform.Members.Write(limited, string(m.Node), data)
		cancel()
		if err == nil {
			n.writtenSequence.Store(m.Sequence)
			n.recorder.Event("record written", "endpoint", string(m.Endpoint), "state", int(m.State), "sequence", m.Sequence)
			return m, false
		}
		n.recorder.Dependency("store", err)
		select {
		case newer := <-n.records:
			return newer, true
		case <-ctx.Done():
		case <-time.After(pause.Std()):
		}
	}
	return m, false
}
