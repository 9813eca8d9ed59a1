package mesher

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/registrar"
)

// writeOddRecords writes records that no node writes, under the names of the nodes and others.
func writeOddRecords(t *testing.T, topic *memoryTopic, nodes ...identifier.Node) {
	t.Helper()
	write := func(key string, value []byte) { assert.NilError(t, topic.Write(context.Background(), key, value)) }
	odd := func(key string, change func(m *exchanger.Member)) {
		m := exchanger.Member{
			Node: identifier.Node(key), DeliveryAddress: "127.0.0.1:9", PeerAddress: "127.0.0.1:9", Domain: "west", Service: "portal",
			Endpoint: identifier.Endpoint("odd-" + key), Slots: 10, State: exchanger.Ready, Incarnation: 1, Sequence: 1,
		}
		change(&m)
		data, err := exchanger.EncodeMember(m)
		assert.NilError(t, err)
		write(key, data)
	}
	for _, node := range nodes {
		odd(string(node), func(m *exchanger.Member) { m.Slots, m.Endpoint = 1_000_000_000, "i-"+identifier.Endpoint(node) })
		odd("key", func(m *exchanger.Member) { m.Node, m.Incarnation = node, math.MaxInt64/2 })
	}
	odd("ports", func(m *exchanger.Member) { m.DeliveryAddress = "127.0.0.1:99999" })
	odd("portless", func(m *exchanger.Member) { m.PeerAddress = "127.0.0.1" })
	odd("slots", func(m *exchanger.Member) { m.Slots = math.MaxInt64 })
	odd("domain", func(m *exchanger.Member) { m.Domain = identifier.FailureDomain(strings.Repeat("d", 60_000)) })
	write("nested", bytes.Repeat([]byte{0x81}, 100_000))
	write("bytes", []byte("{]"))
	write("", []byte{0xff})
	for i := range 50 {
		odd(fmt.Sprint("many", i), func(m *exchanger.Member) { m.DeliveryAddress = fmt.Sprint("127.0.0.1:", 70_000+i) })
	}
}

// Guards against nodes that end, or serve nothing, because of odd entries that are there before the true ones.
func TestNodesStartAmongOddRecords(t *testing.T) {
	f := &fleet{}
	writeOddRecords(t, &f.members, "entry", "beside")
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 1")))
	entry := f.start(t, "entry", "desk")
	beside := f.start(t, "beside", "portal")
	eventually(t, "served", func() bool { status, _ := entry.request(); return status == 200 })
	writeOddRecords(t, &f.members, "entry", "beside")
	for range 50 {
		status, text := entry.request()
		assert.Equal(t, status, 200, text)
	}
	_, state := entry.get(entry.settings.Listen.Peer, "/state")
	for _, name := range []string{"ports", "portless", "slots", "domain", "many7"} {
		assert.Assert(t, !strings.Contains(state, `"node":"`+name+`"`), "%s is a member", name)
	}
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 2")))
	for _, n := range []*runningNode{entry, beside} {
		eventually(t, "version 2", func() bool {
			_, text := n.get(n.settings.Listen.Peer, "/state")
			return strings.Contains(text, `"version":2`)
		})
	}
}

// Guards against heartbeats that are acknowledged although no endpoint makes them; with a billion slots the node would end.
func TestOddHeartbeatsAreRefused(t *testing.T) {
	f := &fleet{}
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 1")))
	n := f.start(t, "beside", "portal")
	for name, change := range map[string]func(a *registrar.Announcement){
		"another address": func(a *registrar.Announcement) { a.Address = "127.0.0.1:99999" },
		"another service": func(a *registrar.Announcement) { a.Service = "desk" },
		"slots near 2^63": func(a *registrar.Announcement) { a.Slots = math.MaxInt64 / 2 },
		"a billion slots": func(a *registrar.Announcement) { a.Slots = 1_000_000_000 },
		"negative slots":  func(a *registrar.Announcement) { a.Slots = -1 },
		"cold for long":   func(a *registrar.Announcement) { a.ColdLeft = math.MaxInt64 / 2 },
		"cold since long": func(a *registrar.Announcement) { a.ColdLeft = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			a := registrar.Announcement{
				Endpoint: "i-beside", Service: "portal", Address: n.settings.Endpoint.String(), Slots: 10, Started: 1, Sequence: 99,
			}
			change(&a)
			assert.Assert(t, n.accept(a) != nil)
		})
	}
	eventually(t, "served", func() bool { status, _ := n.request(); return status == 200 })
}
