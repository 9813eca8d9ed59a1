package mesher

// Two topics of the platform's store are watched: the operators' topic for the configuration, evacuations and the proof that
// they are the newest, and the members' topic for the fleet's member records.
//
// Example: an invalid configuration is refused with a log line that names the invalid field; the old one stays in force.

import (
	"context"
	"slices"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/watcher"
)

const (
	// maxStoreLateness is how much later than the requested wait an answer of the store may arrive: its round trip takes some
	// 10 ms, and sixty times as long when it is slow.
	maxStoreLateness = 700 * clock.Millisecond
	// maxFirstStoreLateness is the same for a read of the configuration that is repeated at once: on a connection that went
	// silent, the repetition still ends before the configuration must be in force.
	maxFirstStoreLateness = 250 * clock.Millisecond
	// verifyPeriod is how often the node that reads the store checks that the operators' topic is still the same one: within the
	// time by which a change may be later while the store drops history (5 s).
	verifyPeriod = 4 * clock.Second
	// membersReadWait is how long a read of the members' topic waits. Such a read proves nothing, so only its cost matters,
	// and the wait is the longest that stores of this kind allow.
	membersReadWait = 30 * clock.Second
	// membersReadPause is the pause after a read that returned records, so that the next read collects those of nodes
	// that start together: they arrive one by one, and without the pause 14 nodes would make 266 calls within 15 s of
	// their start. Later changes arrive with the reports.
	membersReadPause = clock.Second
	// configurationReadPause is the pause after a read that returned records, so that the next read collects
	// configurations that are published in quick succession. It is a fifth of the time within which a change must be in force.
	configurationReadPause = 400 * clock.Millisecond
)

func (n *node) newConfigurationWatcher() *watcher.Watcher {
	return watcher.New(watcher.Options{
		Topic:             relayedTopic{Topic: n.options.Platform.Operators, node: n},
		Wait:              n.readWait,
		PauseAfterRecords: configurationReadPause,
		Slack:             maxStoreLateness,
		FirstSlack:        maxFirstStoreLateness,
		VerifyEvery:       verifyPeriod,

		Backoff:  n.storeBackoff,
		Now:      clock.Boot{}.Now,
		OnUpdate: n.applyOrders,
		OnLost: func(err error) {
			n.recorder.Event("store lost", "topic", "operators", "error", err.Error())
			n.confirmation.setStoreLost(true)
		},
		OnRegained: func() {
			n.recorder.Event("store regained", "topic", "operators")
			n.confirmation.setStoreLost(false)
		},
	})
}

// relayedBackoff is the backoff between failed calls to the store for a node that gets proofs and members from a collector:
// they come with the reports, soon after the collector has them. With a collector's shorter backoff, 195 nodes would make a
// thousand calls in an outage of some seconds. Its longest wait ends before time bounds hold again after an outage (3 s), since the
// collector may be cut off from the store by then.
var relayedBackoff = watcher.Backoff{First: 100 * clock.Millisecond, Max: 2 * clock.Second, Factor: 20}

func (n *node) storeBackoff() watcher.Backoff {
	reliedOn := false
	n.relayer.View(func(c *conductor.Conductor, now clock.Time) {
		reliedOn = c.FollowsStore(now) || c.CollectsForDomain(now)
	})
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
	for _, r := range slices.Backward(merged.configurations(n.options.Platform.ConfigurationKey)) {
		if n.applyConfiguration(r, u.From) {
			break
		}
	}
	if merged.evacuations {
		n.applyEvacuations()
	}
	if u.Restarted {
		n.recorder.Event("operators' topic created again", "next", int64(u.Next))
	}
	if len(merged.records) > 0 || u.Restarted {
		n.relayer.ApplyEvent(conductor.OrdersRead{Next: n.orders.next(), Restarted: u.Restarted})
		// The exchange fetches the collector's proof at once, so that the node need not read its own from the store.
		n.exchangeSoon()
	}
	if !u.Complete {
		return
	}
	var version identifier.Version
	n.relayer.View(func(c *conductor.Conductor, _ clock.Time) { version = c.Version() })
	n.relayer.ApplyEvent(conductor.ConfigurationProved{Version: version, AsOf: u.AsOf})
	n.confirmation.notify()
}

// isOrder reports whether nodes follow a key, and whether the key evacuates a failure domain.
func (n *node) isOrder(key string) (followed, evacuation bool) {
	if n.options.Platform.EvacuatedDomain != nil {
		_, evacuation = n.options.Platform.EvacuatedDomain(key)
	}
	return evacuation || key == n.options.Platform.ConfigurationKey, evacuation
}

// applyEvacuations puts the evacuations in the known orders in force.
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

// applyConfiguration puts a configuration in force, and returns false if it is not valid.
func (n *node) applyConfiguration(r watcher.Record, from identifier.Node) (valid bool) {
	refuse := func(err error) {
		n.recorder.Event("configuration refused", "offset", int64(r.Offset), "error", err.Error())
	}
	configuration, err := n.options.Platform.Decode(r.Value)
	if err != nil {
		refuse(err)
		return false
	}
	m, err := matcher.New(configuration)
	if err != nil {
		refuse(err)
		return false
	}
	if err := m.CheckRegions(n.options.Settings.Regions); err != nil {
		refuse(err)
		return false
	}
	n.recorder.Event("configuration read", "version", int64(m.Version()), "offset", int64(r.Offset))
	n.relayer.ApplyEvent(conductor.ConfigurationRead{Matcher: m, At: clock.Boot{}.Now(), From: from})
	return true
}

func (n *node) watchMembers(ctx context.Context) {
	w := watcher.New(watcher.Options{
		Topic:             n.options.Platform.Members,
		Wait:              func() clock.Duration { return membersReadWait },
		Need:              n.followsStore,
		PauseAfterRecords: membersReadPause,
		Slack:             maxStoreLateness,

		Backoff:  n.storeBackoff,
		Now:      clock.Boot{}.Now,
		OnUpdate: n.applyMembers,
		OnLost: func(err error) {
			n.recorder.Event("store lost", "topic", "members", "error", err.Error())
		},
		OnRegained: func() { n.recorder.Event("store regained", "topic", "members") },
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
		if err == nil && string(m.Node) != r.Key {
			err = exchanger.MemberError{Node: string(m.Node), Field: "key", Value: r.Key, Want: "the node's name"}
		}
		if err != nil {
			n.recorder.Event("member refused", "key", r.Key, "error", err.Error())
			continue
		}
		n.relayer.ApplyEvent(conductor.MemberLearned{Member: m})
	}
	n.relayer.ApplyEvent(conductor.MembersRead{})
	if len(u.Records) > 0 {
		n.exchangeSoon()
	}
}

// publish queues this node's member record for writing. If the queue is full, the oldest change is dropped, since only the
// newest counts.
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
	// writeTimeout is the timeout of one write of the record.
	writeTimeout = clock.Second
	// firstWritePause and maxWritePause bound the backoff between attempts to write the record; the upper bound is short so
	// that the record is written soon after the store has recovered.
	firstWritePause = 300 * clock.Millisecond
	maxWritePause   = 1500 * clock.Millisecond
)

// writeRecords writes this node's newest member record, and retries until it is written or replaced by a newer one.
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
	// recordTimeout is how long the acknowledgement of a leaving endpoint waits for the record to be written: less than
	// half of the second within which the acknowledgement must arrive. During an outage of the store the leaving is
	// acknowledged although the record is not written.
	recordTimeout = 400 * clock.Millisecond
	// recordPollPeriod is the time between two checks whether the record is written; a write takes 4 ms when the store
	// is not busy.
	recordPollPeriod = 3 * clock.Millisecond
)

// awaitRecord waits until this node's current member record is in the store, for at most recordTimeout. A node that is killed
// right after it acknowledged that its endpoint is leaving restarts from that record, and must not treat the endpoint as
// available.
func (n *node) awaitRecord() {
	var want int64
	n.relayer.View(func(c *conductor.Conductor, _ clock.Time) { want = c.Self().Sequence })
	for end := n.clock.Now().Add(recordTimeout); n.writtenSequence.Load() < want && n.clock.Now() < end; {
		time.Sleep(recordPollPeriod.Std())
	}
}

// writeRecord retries until the record is written. If a newer record arrives first, it returns that record and true.
func (n *node) writeRecord(ctx context.Context, m exchanger.Member) (exchanger.Member, bool) {
	data, err := exchanger.EncodeMember(m)
	if err != nil {
		n.recorder.Event("member record not encoded; not written", "error", err.Error())
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
