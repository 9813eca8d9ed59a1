package rationer

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// maxExcess is the largest fraction of a service's load that is refused.
const maxExcess = 0.95

// kindsByLevel returns one kind for each class, each worth half of the one before it.
func kindsByLevel(demands map[int]float64) []Kind {
	kinds := make([]Kind, identifier.Classes)
	for i := range kinds {
		kinds[i] = Kind{Class: identifier.Class(i), Demand: demands[i], Worth: math.Exp2(-float64(i))}
	}
	return kinds
}

func TestDivide(t *testing.T) {
	mix := kindsByLevel(map[int]float64{0: 60, 1: 30, 2: 10})
	tests := map[string]struct {
		class    int
		capacity float64
		want     float64
	}{
		"no excess":                             {2, 100, 0},
		"more capacity than demand":             {2, 200, 0},
		"half of the least important":           {2, 95, 0.5},
		"the next class is not refused":         {1, 95, 0},
		"all but the least part of the last":    {2, 90, 0.55},
		"then the next class":                   {1, 90, 0.15},
		"the most important is refused last":    {0, 75, 0},
		"all but the least part of the next":    {1, 75, 0.625},
		"the last keeps its least part":         {2, 75, 0.625},
		"the most important in part":            {0, 60, 0.2},
		"the most important keeps more":         {0, 10, 0.95 - 5.0/60},
		"the others keep their least part only": {1, 10, 0.95},
		"no capacity":                           {0, 0, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := Divide(mix, test.capacity).Refused[test.class]
			assert.Assert(t, math.Abs(got-test.want) < 1e-9, "got %v, want %v", got, test.want)
		})
	}
	assert.DeepEqual(t, Divide(nil, 0.5), Division{Refused: []float64{}, Least: []float64{}})
	// A kind without demand is not refused.
	assert.Equal(t, Divide([]Kind{{Demand: 0, Worth: 1}, {Demand: 5, Worth: 2}}, 0.5).Refused[0], 0.0)
	// Kinds of equal worth are refused in equal parts.
	assert.DeepEqual(t, Divide([]Kind{{Demand: 30, Worth: 1}, {Demand: 10, Worth: 1}, {Demand: 40, Worth: 2}}, 60).Refused, []float64{0.5, 0.5, 0})
	// The team's rank precedes the worth, however large the difference in cost is, and leaves the next rank no least part.
	got := Divide([]Kind{{Class: 4, Demand: 30, Worth: 5000}, {Class: 3, Demand: 30, Worth: 1e-9}}, 30)
	assert.DeepEqual(t, got, Division{Refused: []float64{1, 0}, Least: []float64{0, 1}})
}

// For any kinds, exactly the excess is refused; while a kind is refused in part, those that it precedes in the order have their
// least part and no more, and those of less important teams have nothing.
func TestDivideRemovesExcessInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var kinds []Kind
		total := 0.0
		for range rapid.IntRange(1, 40).Draw(t, "kinds") {
			k := Kind{
				Class:  identifier.Class(rapid.IntRange(0, identifier.Classes-1).Draw(t, "class")),
				Demand: rapid.Float64Range(0, 100).Draw(t, "demand"),
				Worth:  float64(rapid.IntRange(1, 9).Draw(t, "worth")),
			}
			kinds = append(kinds, k)
			total += k.Demand
		}
		excess := rapid.Float64Range(0, maxExcess).Draw(t, "excess")
		capacity := (1 - excess) * total
		d := Divide(kinds, capacity)
		sum := 0.0
		for i, k := range kinds {
			sum += d.Refused[i] * k.Demand
			if d.Refused[i] > 1-d.Least[i]+1e-9 {
				t.Fatalf("%+v gets less than its least part: %v of %v", k, 1-d.Refused[i], d.Least[i])
			}
			sameRank, before := 0.0, 0.0
			for j, other := range kinds {
				switch {
				case other.teamRank() < k.teamRank():
					before += other.Demand
				case other.teamRank() == k.teamRank():
					sameRank += other.Demand
				}
				if d.Refused[i] == 0 || k.Demand == 0 || other.Demand == 0 {
					continue
				}
				if other.teamRank() > k.teamRank() && d.Refused[j] < 1-1e-9 {
					t.Fatalf("%+v has a refused fraction of %v though %+v has only %v", k, d.Refused[i], other, d.Refused[j])
				}
				if other.teamRank() == k.teamRank() && other.Worth < k.Worth && math.Abs(d.Refused[j]-(1-d.Least[j])) > 1e-9 {
					t.Fatalf("%+v has a refused fraction of %v though %+v has only %v", k, d.Refused[i], other, d.Refused[j])
				}
			}
			if left := max(0, capacity-before); left < sameRank-1e-6 && math.Abs(d.Least[i]-leastPart*left/sameRank) > 1e-9 {
				t.Fatalf("%+v has a least part of %v for a capacity of %v and a demand of %v", k, d.Least[i], left, sameRank)
			}
		}
		if math.Abs(sum-excess*total) > 1e-6*max(1, total) {
			t.Fatalf("refused a demand of %v of %v, want %v", sum, total, excess*total)
		}
	})
}

func TestShare(t *testing.T) {
	tests := map[string]struct {
		claims   []Claim
		capacity float64
		want     []float64
	}{
		"none":                       {nil, 10, []float64{}},
		"enough for all":             {[]Claim{{1, 10}, {5, 20}}, 40, []float64{10, 20}},
		"equal weights":              {[]Claim{{1, 80}, {1, 80}}, 60, []float64{30, 30}},
		"by weight":                  {[]Claim{{1, 80}, {2, 80}}, 60, []float64{20, 40}},
		"unused goes to the others":  {[]Claim{{1, 10}, {1, 80}, {2, 80}}, 100, []float64{10, 30, 60}},
		"surge of one team":          {[]Claim{{10, 50}, {10, 9}, {10, 9}}, 30, []float64{12, 9, 9}},
		"no demand":                  {[]Claim{{10, 0}, {10, 9}}, 5, []float64{0, 5}},
		"no capacity":                {[]Claim{{10, 3}}, 0, []float64{0}},
		"negative capacity is none":  {[]Claim{{10, 3}}, -1, []float64{0}},
		"all demands met at the end": {[]Claim{{0.1, 1}, {0.2, 2}, {0.3, 3}}, 6, []float64{1, 2, 3}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := Share(test.claims, test.capacity)
			assert.Equal(t, len(got), len(test.want))
			for i := range got {
				assert.Assert(t, math.Abs(got[i]-test.want[i]) < 1e-9, "got %v, want %v", got, test.want)
			}
		})
	}
}

// For any claims, the capacity is used as far as there is demand, nobody gets more than it demands, everybody with demand
// gets something, and a claim that is not met has as much for its weight as any other.
func TestShareIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var claims []Claim
		total := 0.0
		for range rapid.IntRange(1, 60).Draw(t, "claims") {
			c := Claim{
				Weight: rapid.Float64Range(0.1, 500).Draw(t, "weight"),
				Demand: rapid.Float64Range(0, 1000).Draw(t, "demand"),
			}
			claims = append(claims, c)
			total += c.Demand
		}
		capacity := rapid.Float64Range(0.01, 1.2).Draw(t, "part") * total
		shares := Share(claims, capacity)
		sum := 0.0
		for i, c := range claims {
			sum += shares[i]
			if shares[i] > c.Demand || c.Demand > 0 && shares[i] <= 0 {
				t.Fatalf("%+v gets %v of %v", c, shares[i], capacity)
			}
			for j, other := range claims {
				if shares[i] < c.Demand-1e-6 && shares[j]/other.Weight > shares[i]/c.Weight+1e-6 {
					t.Fatalf("%+v gets %v, %+v gets %v", c, shares[i], other, shares[j])
				}
			}
		}
		if math.Abs(sum-min(total, capacity)) > 1e-6*max(1, total) {
			t.Fatalf("%v of %v given for a demand of %v", sum, capacity, total)
		}
	})
}
