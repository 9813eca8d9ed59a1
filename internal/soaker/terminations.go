package soaker

// Faults in which planned stops overlap: with those of other nodes, with further signals to the node that stops, and with a
// change of the configuration.
//
// Example: node-1, node-2 and node-3 get SIGTERM 0.4 s apart, and all three stop for some seconds.

import (
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// seriesNodes is how many nodes are told to stop one after the other: with neighbours in the list, one of each service.
	seriesNodes = 3
	// signalInterval is the time between two signals to a node that stops already.
	signalInterval = 150 * time.Millisecond
)

// stopFaults are planned stops that overlap each other, other signals or a change of the configuration.
var stopFaults = []fault{
	{"terminateSeries", func(f *fleet, n *node, d time.Duration) error {
		first := slices.Index(f.nodes, n)
		failed := make([]error, seriesNodes)
		var all sync.WaitGroup
		for i := range failed {
			all.Go(func() { failed[i] = f.nodes[(first+i)%len(f.nodes)].restartExclusively(syscall.SIGTERM, d/4) })
			// A stop takes longer than two of these intervals, so all three stops overlap.
			time.Sleep(d / 4)
		}
		all.Wait()
		return errors.Join(failed...)
	}},
	{"terminateRepeatedly", func(_ *fleet, n *node, d time.Duration) error {
		return n.restartWhile(syscall.SIGTERM, d/4, n.signalUntilExit)
	}},
	{"rotateDuringStop", func(f *fleet, n *node, d time.Duration) error {
		return n.restartWhile(syscall.SIGTERM, d/4, func() {
			time.Sleep(d / 2)
			f.teams.rotateKey(f.store, f.record)
		})
	}},
}

// signalUntilExit sends SIGHUP and SIGTERM in turn until the process has exited.
func (n *node) signalUntilExit() {
	for _, s := range slices.Repeat([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}, int(terminationGrace/signalInterval)) {
		select {
		case <-n.exited:
			return
		case <-time.After(signalInterval):
		}
		n.signal(s)
	}
}
