package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jackdawtide/jackdawtide/platform"
)

const tenantKey = "6wsjnbanfqasnmgkcuyj"

// tenantQuota returns a limit with the tolerance of the deployments' sheets.
func tenantQuota(ratePerS, burst float64) quota {
	return quota{ratePerS: ratePerS, burst: burst, window: 5 * time.Second, excess: 0.1, slack: 20}
}

// configuration returns a configuration with one idempotent route and one tenant.
func configuration(version int, q quota) []byte {
	data, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes": []map[string]any{{
			"name": "r-book", "host": host, "pathPrefix": "/book/", "kind": "idempotent", "timeout": "5000ms", "slo": "1200ms",
			"priority": 1, "service": service, "maxAttempts": 2, "noAuth": false,
		}},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConnections": 1684, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"tenants": []map[string]any{{
			"name": "pulo780", "apiKeys": []string{tenantKey}, "priority": 1, "ratePerS": q.ratePerS, "burst": q.burst,
		}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// judge writes the record and compares the runs with the limit.
func judge(f *fleet, q quota, path string) (int, error) {
	if err := f.record.write(path); err != nil {
		return notRun, err
	}
	most, begins := q.most(f.record.sorted())
	fmt.Printf("most requests of the tenant sent and run within %v: %d from %d ms on, allowed are %d\n",
		q.window, most, begins.Milliseconds(), q.allowed())
	if most > q.allowed() {
		return broken, nil
	}
	return held, nil
}

// traffic is how a tenant's traffic goes on: first within its limit, then far beyond it.
type traffic struct {
	// calm and hot are the requests a second at each node.
	calm, hot float64
}

// calmTime is how long the tenant stays within its limit, which fills its budget.
const calmTime = 10 * time.Second

// playPartialStore adds a machine while the one partition of the store that holds the nodes' records is down.
func playPartialStore(ctx context.Context, s setup) (int, error) {
	const (
		nodes = 5
		// downTime is how long the partition is down, hotBefore and hotAfter how long the tenant sends too much around that.
		downTime  = 4500 * time.Millisecond
		hotBefore = 500 * time.Millisecond
		hotAfter  = time.Second
	)
	load := traffic{calm: 12, hot: 80}
	limit := tenantQuota(100, 100)
	f, err := newFleet(ctx, s.directory, soundMachines(nodes), configuration(7, limit))
	defer f.close()
	if err != nil {
		return notRun, err
	}
	c := newCallers(f, tenantKey)
	c.begin(load.calm)
	f.record.note("the tenant sends %v requests a second; its limit is %v a second and a burst of %v", load.calm*nodes, limit.ratePerS, limit.burst)
	if err := f.pause(calmTime); err != nil {
		return notRun, err
	}
	f.record.note("the tenant sends %v requests a second at each node", load.hot)
	c.setRate(load.hot)
	if err := f.pause(hotBefore); err != nil {
		return notRun, err
	}
	if s.trouble {
		f.faults.setDown(platform.MembersTopic)
		f.record.note("the store answers 503 for topic %s", platform.MembersTopic)
	}
	downUntil := time.Now().Add(downTime)
	if err := f.addNode(machine{service: service}); err != nil {
		return notRun, err
	}
	f.record.note("%s starts", f.nodes[nodes].name)
	// The platform asks once a second whether a node is ready.
	if err := f.pause(time.Second); err != nil {
		return notRun, err
	}
	if err := f.awaitReady(); err != nil {
		return notRun, err
	}
	f.record.note("%s is ready and gets the tenant's requests", f.nodes[nodes].name)
	c.run(f.nodes[nodes])
	if err := f.pause(time.Until(downUntil)); err != nil {
		return notRun, err
	}
	f.faults.setDown("")
	f.record.note("the store answers for all topics")
	if err := f.pause(hotAfter); err != nil {
		return notRun, err
	}
	c.end()
	return judge(f, limit, s.record)
}
