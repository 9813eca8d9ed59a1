package tracer

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func readTestLog(t *testing.T) []Line {
	t.Helper()
	f, err := os.Open("testdata/nodes.log")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	lines, err := Read(f)
	assert.NilError(t, err)
	return lines
}

func formatTrace(t Trace) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", t.Cause)
	for _, part := range [][]Line{t.Lines, t.Nested, t.Loads, t.Events} {
		b.WriteString("--\n")
		for _, l := range part {
			fmt.Fprintf(&b, "%s %s %s\n", l.Time.Format("05.000"), l.Node, l)
		}
	}
	return b.String()
}

// The logs come from a run in which one endpoint of the deepest service became slow: one request was refused at the
// entry node, one failed because its nested calls failed, and one exceeded its deadline. Find must lead from each
// request's id to that service.
func TestFind(t *testing.T) {
	for name, request := range map[string]string{
		"refused":      "6a305a0aa4128433",
		"nestedFailed": "e872df0e3e06d658",
		"late":         "ffde8f1529d95216",
	} {
		t.Run(name, func(t *testing.T) {
			trace, err := Find(readTestLog(t), request)
			assert.NilError(t, err)
			golden.Assert(t, formatTrace(trace), name+".golden")
		})
	}
}

func TestFindReportsMissingLines(t *testing.T) {
	_, err := Find(nil, "1")
	assert.Assert(t, errors.Is(err, ErrNoLines))
	_, err = Find(readTestLog(t), "nobody")
	var unknown UnknownRequestError
	assert.Assert(t, errors.As(err, &unknown))
	assert.Equal(t, unknown.Request, "nobody")
}

func TestCauses(t *testing.T) {
	const attempt = `{"time":"2026-01-01T00:00:01Z","node":"a","msg":"attempt ended","request":"1","endpoint":"i","at":"b",`
	tests := map[string]struct{ log, want string }{
		"offered twice, no line of its attempts": {
			`{"time":"2026-01-01T00:00:01Z","node":"a","msg":"request offered","request":"1","offers":[` +
				`{"endpoint":"i","at":"b","connection":"127.0.0.1:7","outcome":"declined","status":0,"sentMs":1,"tookMs":2},` +
				`{"endpoint":"j","at":"c","connection":"127.0.0.1:8","outcome":"answered","status":200,"sentMs":4,"tookMs":30}]}`,
			`the last offer, after 4ms to j beside c on "127.0.0.1:8": answered, status 200, after 30ms`,
		},
		"refused, and the run's answer came after the refusal was taken": {
			`{"time":"2026-01-01T00:00:01Z","node":"a","msg":"request refused","request":"1","status":503,"reason":"endpointRefused","afterMs":9}` + "\n" +
				`{"time":"2026-01-01T00:00:02Z","node":"b","msg":"answer dropped","request":"1","status":200,"taken":503,"connection":"127.0.0.1:8"}`,
			"a answered 503 after 9ms: the endpoint declined to run it",
		},
		"success": {
			attempt + `"outcome":"answered","status":200,"tookMs":30}`,
			"answered with 200 by endpoint i beside b in 30ms",
		},
		"the endpoint's own failure": {
			attempt + `"outcome":"answered","status":500,"tookMs":30}`,
			"endpoint i beside b answered 500, and the logs show no failed nested call: it is the endpoint's own",
		},
		"full": {
			attempt + `"outcome":"full","tookMs":110}` + "\n" +
				`{"time":"2026-01-01T00:00:00.9Z","node":"b","msg":"load","running":43,"limit":43,"queued":70,"queueMs":90}`,
			"the last attempt, at endpoint i beside b, ended as full after 110ms; 70 calls were queued there, for 90ms",
		},
		"a reason of a later version": {
			`{"time":"2026-01-01T00:00:01Z","node":"a","msg":"request refused","request":"1","status":503,"reason":"tooHot","afterMs":2}`,
			"a answered 503 after 2ms: tooHot",
		},
		"cut off by a stop": {
			attempt + `"outcome":"answered","status":200,"tookMs":30}` + "\n" +
				`{"time":"2026-01-01T00:00:06Z","node":"a","msg":"request cut","request":"1","path":"/x","afterMs":5300}`,
			"a ended its planned stop 5.3s after the request's arrival, before its answer had been passed on completely",
		},
		"refused by a stop": {
			`{"time":"2026-01-01T00:00:01Z","node":"a","msg":"request refused","request":"1","status":502,"reason":"nodeStopping","afterMs":900}`,
			"a answered 502 after 900ms: the node was stopping and could not wait for it",
		},
		"refused after an attempt": {
			attempt + `"outcome":"unreached","tookMs":5}` + "\n" +
				`{"time":"2026-01-01T00:00:02Z","node":"a","msg":"request refused","request":"1","status":503,"reason":"noEndpoint","afterMs":6}`,
			"a answered 503 after 6ms: no endpoint was left to try; the attempt before it ended as unreached at endpoint i " +
				"beside b after 5ms",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lines, err := Read(strings.NewReader(test.log))
			assert.NilError(t, err)
			trace, err := Find(lines, "1")
			assert.NilError(t, err)
			assert.Equal(t, trace.Cause, test.want)
		})
	}
}

// Collected logs hold lines of other programs, truncated lines and bytes that are not text; none of them may make Read
// panic or Find fail.
func FuzzRead(f *testing.F) {
	f.Add(`10.2 node-b {"msg":"load","node":"b","running":3}`)
	f.Add("{")
	f.Add(`{"msg":5}`)
	f.Add("\xff\x00{\"node\":\"\xff\",\"msg\":\"x\"}")
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := Read(strings.NewReader(text))
		if err != nil {
			return
		}
		for _, l := range lines {
			_ = l.String()
			if _, err := Find(lines, l.Request); err != nil {
				t.Fatal(err)
			}
		}
	})
}
