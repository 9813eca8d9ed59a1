package logkeeper

// The oracle is a plain slice: reads through the published protocol must return all appended records, except those that
// retention dropped, in order and unchanged.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

func serve(t testing.TB, o Options) (*Keeper, *appender.Client, string) {
	t.Helper()
	k := New(o)
	s := httptest.NewServer(k.Handler())
	t.Cleanup(s.Close)
	c, err := appender.NewClient(s.URL, s.Client())
	assert.NilError(t, err)
	return k, c, s.URL
}

// handlerTransport calls the handler without a socket, so that thousands of steps use no ports.
type handlerTransport struct {
	handler http.Handler
}

func (d handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

type oracle struct {
	all      [][]byte
	times    []clock.Wall
	now      clock.Wall
	earliest int
	lost     int
	keep     Switches
}

func (o *oracle) expire() {
	for o.earliest < len(o.all) {
		tooOld := o.keep.KeepAge > 0 && o.times[o.earliest] < o.now.Add(-o.keep.KeepAge)
		tooMany := o.keep.KeepCount > 0 && len(o.all)-o.earliest > o.keep.KeepCount
		if !tooOld && !tooMany {
			return
		}
		o.earliest++
	}
}

// The log drops and expires records and loses answers while readers and writers use it. A reader that then got a record
// twice, skipped one without an error or got another record's bytes would put a configuration in force that was never
// accepted.
func TestKeeperAgainstOracle(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(rt *rapid.T) {
		var o oracle
		k := New(Options{Wall: func() clock.Wall { return o.now }})
		c, err := appender.NewClient("http://log", &http.Client{Transport: handlerTransport{k.Handler()}})
		assert.NilError(rt, err)
		rt.Repeat(map[string]func(*rapid.T){
			"append": func(rt *rapid.T) {
				data := rapid.SliceOfN(rapid.Byte(), 1, 8).Draw(rt, "data")
				got, err := c.Append(ctx, data)
				o.all, o.times = append(o.all, data), append(o.times, o.now)
				o.expire()
				var u appender.Unavailable
				if o.lost > 0 {
					o.lost--
					assert.Assert(rt, errors.As(err, &u) && !u.NotSent, "%v", err)
					return
				}
				assert.NilError(rt, err)
				assert.Equal(rt, int(got), len(o.all))
			},
			"read": func(rt *rapid.T) {
				o.expire()
				from := rapid.IntRange(0, len(o.all)+2).Draw(rt, "from")
				limit := rapid.IntRange(1, 4).Draw(rt, "limit")
				b, err := c.Read(ctx, appender.Offset(from), limit, 0)
				var e appender.Expired
				if from > 0 && from <= o.earliest {
					assert.Assert(rt, errors.As(err, &e), "%v", err)
					assert.Equal(rt, int(e.Earliest), o.earliest+1)
					return
				}
				assert.NilError(rt, err)
				start := max(from-1, o.earliest)
				want := o.all[min(start, len(o.all)):min(start+limit, len(o.all))]
				assert.Equal(rt, len(b.Records), len(want))
				for i, r := range b.Records {
					assert.Equal(rt, int(r.Offset), start+1+i)
					assert.Equal(rt, clock.Wall(r.Time), o.times[start+i])
					assert.Assert(rt, bytes.Equal(r.Data, want[i]))
				}
				assert.Equal(rt, int(b.Next), start+1+len(want))
				assert.Equal(rt, int(b.End), len(o.all)+1)
			},
			"switch": func(rt *rapid.T) {
				o.expire()
				o.lost = rapid.IntRange(0, 2).Draw(rt, "lost")
				o.keep.KeepCount = rapid.IntRange(0, 5).Draw(rt, "count")
				o.keep.KeepAge = clock.Duration(rapid.IntRange(0, 5).Draw(rt, "age"))
				o.expire()
				k.Set(Switches{LostAnswers: o.lost, KeepCount: o.keep.KeepCount, KeepAge: o.keep.KeepAge})
			},
			"forget": func(rt *rapid.T) {
				o.expire()
				before := rapid.IntRange(0, len(o.all)+1).Draw(rt, "before")
				k.Forget(appender.Offset(before))
				o.earliest = max(o.earliest, before-1)
			},
			"age": func(*rapid.T) { o.now++ },
		})
	})
}

// The log has an outage and then recovers. A long poll must fail at once instead of staying open, and an append
// during the outage must return an error.
func TestOutageFailsWaitingReads(t *testing.T) {
	k, c, url := serve(t, Options{})
	failed := make(chan error, 1)
	go func() {
		_, err := c.Read(context.Background(), 1, 10, 20*time.Second)
		failed <- err
	}()
	time.Sleep(20 * time.Millisecond)
	res, err := http.Post(url+"/switches", "application/json", strings.NewReader(`{"outage":true,"delayMs":1}`))
	assert.NilError(t, err)
	answer, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, string(answer), `{"outage":true,"delayMs":1,"lostAnswers":0,"keepCount":0,"keepAgeMs":0}`)
	var u appender.Unavailable
	assert.Assert(t, errors.As(<-failed, &u))
	_, err = c.Append(context.Background(), []byte("x"))
	assert.Assert(t, errors.As(err, &u))
	k.Set(Switches{})
	o, err := c.Append(context.Background(), []byte("x"))
	assert.NilError(t, err)
	assert.Equal(t, o, appender.Offset(1), "an append during an outage must have no effect")
}

// Nodes wait for new records of the log. If an append did not end their long polls, a withdrawn key would remain
// valid until the wait times out.
func TestAppendWakesWaitingRead(t *testing.T) {
	_, c, _ := serve(t, Options{})
	got := make(chan appender.Batch, 1)
	go func() {
		b, _ := c.Read(context.Background(), 0, 10, 30*time.Second)
		got <- b
	}()
	time.Sleep(20 * time.Millisecond)
	_, err := c.Append(context.Background(), []byte("x"))
	assert.NilError(t, err)
	select {
	case b := <-got:
		assert.Equal(t, len(b.Records), 1)
	case <-time.After(5 * time.Second):
		t.Fatal("the long poll did not return the appended record within 5 s")
	}
}

func TestErrorsByCause(t *testing.T) {
	_, c, url := serve(t, Options{})
	var refused appender.Refused
	_, err := c.Append(context.Background(), make([]byte, appender.MaxRecord+1))
	assert.Assert(t, errors.As(err, &refused) && refused.Status == http.StatusRequestEntityTooLarge, "%v", err)

	dead, err := appender.NewClient("http://127.0.0.1:1", http.DefaultClient)
	assert.NilError(t, err)
	_, err = dead.Append(context.Background(), []byte("x"))
	var u appender.Unavailable
	assert.Assert(t, errors.As(err, &u) && u.NotSent, "%v", err)

	for _, bad := range []string{"ftp://x", "127.0.0.1:7", "http://"} {
		_, err = appender.NewClient(bad, http.DefaultClient)
		assert.ErrorContains(t, err, "log URL")
	}
	res, err := http.Get(url + "/records?from=minus")
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode, http.StatusBadRequest)
}
