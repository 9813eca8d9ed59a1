package gauger

import (
	"errors"
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

func TestDecode(t *testing.T) {
	for text, want := range map[string]Report{
		"0,0,1":                       {Slots: 1},
		"88,14,88":                    {Running: 88, Waiting: 14, Slots: 88},
		"88,14,88,180":                {Running: 88, Waiting: 14, Slots: 88, Pace: 180},
		" 1, 2 ,\t3, 4 ":              {Running: 1, Waiting: 2, Slots: 3, Pace: 4},
		"999999,999999,999999,999999": {Running: 999999, Waiting: 999999, Slots: 999999, Pace: 999999},
	} {
		t.Run(text, func(t *testing.T) {
			got, err := Decode(text)
			assert.NilError(t, err)
			assert.Equal(t, got, want)
		})
	}
}

// An invalid report that is read as zeros would make a full endpoint look idle.
func TestInvalidReportNamesFieldAndValue(t *testing.T) {
	for text, want := range map[string]ReportError{
		"":                           {Field: "number of figures", Value: "1"},
		"1,2":                        {Field: "number of figures", Value: "2"},
		"1,2,3,4,5":                  {Field: "number of figures", Value: "5"},
		"busy,2,3":                   {Field: "running", Value: "busy"},
		",2,3":                       {Field: "running", Value: ""},
		"1,-2,3":                     {Field: "waiting", Value: "-2"},
		"1,+2,3":                     {Field: "waiting", Value: "+2"},
		"1,2.5,3":                    {Field: "waiting", Value: "2.5"},
		"1,2,0":                      {Field: "slots", Value: "0"},
		"1,2,1000000":                {Field: "slots", Value: "1000000"},
		"1000000,2,3":                {Field: "running", Value: "1000000"},
		"1,2,3,0":                    {Field: "pace", Value: "0"},
		"1,2,3,NaN":                  {Field: "pace", Value: "NaN"},
		"1,2,3,1000000":              {Field: "pace", Value: "1000000"},
		"1,2,3,0x10":                 {Field: "pace", Value: "0x10"},
		"1,2,3,1 0":                  {Field: "pace", Value: "1 0"},
		"1,2,3,99999999999999999999": {Field: "pace", Value: "99999999999999999999"},
	} {
		t.Run(text, func(t *testing.T) {
			got, err := Decode(text)
			var invalid ReportError
			assert.Assert(t, errors.As(err, &invalid), "%v", err)
			assert.Equal(t, got, Report{})
			want.Expected = invalid.Expected
			assert.Equal(t, invalid, want)
		})
	}
}

func TestReportRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		figure := func(name string, least int) int { return rapid.IntRange(least, figureLimit-1).Draw(t, name) }
		want := Report{
			Running: Calls(figure("running", 0)), Waiting: Calls(figure("waiting", 0)), Slots: Slots(figure("slots", 1)),
			Pace: Pace(figure("pace", 1)),
		}
		got, err := Decode(fmt.Sprintf("%d,%d,%d,%d", want.Running, want.Waiting, want.Slots, want.Pace))
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	})
}

// Any text is either refused as a whole or within the bounds.
func FuzzDecode(f *testing.F) {
	for _, text := range []string{"", "1,2,3", "88,14,88,180", "1,2,0", "a,b,c", "1,2,3,4,5", "-1,2,3", "1,2,3,\xff"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r, err := Decode(text)
		if err != nil {
			assert.Equal(t, r, Report{})
			return
		}
		valid := r.Running >= 0 && r.Running < figureLimit && r.Waiting >= 0 && r.Waiting < figureLimit &&
			r.Slots > 0 && r.Slots < figureLimit && r.Pace >= 0 && r.Pace < figureLimit
		assert.Assert(t, valid, "%q: %+v", text, r)
	})
}

// A pace that kept its weight would keep calls away from an endpoint that has recovered.
func TestPaceTendsToUsualWithAge(t *testing.T) {
	for name, c := range map[string]struct {
		pace Pace
		age  clock.Duration
		want float64
	}{
		"fresh":           {pace: 250, want: 2.5},
		"half":            {pace: 250, age: 300, want: 1.75},
		"quarter":         {pace: 60, age: 600, want: 0.9},
		"almost a second": {pace: 250, age: 999, want: 1.149},
		"a second":        {pace: 250, age: 1000, want: 1},
		"too high":        {pace: 999999, want: 10},
		"too low":         {pace: 1, want: 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			var p Tracker
			p.Learn(c.pace, 5000)
			p.Learn(0, 5000)
			got := p.Factor(clock.Time(5000).Add(c.age))
			assert.Assert(t, math.Abs(got-c.want) < 0.001, "%f", got)
		})
	}
	var none Tracker
	assert.Equal(t, none.Factor(50), 1.0)
}

func TestRecentPace(t *testing.T) {
	var p Tracker
	p.Learn(180, 1000)
	assert.Equal(t, p.Recent(1050, 50), Pace(180))
	assert.Equal(t, p.Recent(1051, 50), Pace(0))
	got, age := p.Pace(1400)
	assert.Assert(t, got == 180 && age == 400)
}
