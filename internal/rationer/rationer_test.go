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

func TestRefuse(t *testing.T) {
	mix := kindsByLevel(map[int]float64{0: 60, 1: 30, 2: 10})
	tests := map[string]struct {
		class    int
		capacity float64
		want     float64
	}{
		"no excess":                            {2, 100, 0},
		"more capacity than demand":            {2, 200, 0},
		"half of the least important":          {2, 95, 0.5},
		"the next class is not refused":        {1, 95, 0},
		"all of the least important":           {2, 75, 1},
		"half of the next class":               {1, 75, 0.5},
		"the most important is refused last":   {0, 60, 0},
		"the most important in part":           {0, 30, 0.5},
		"all but a part of the most important": {0, 5, 55.0 / 60},
		"no capacity":                          {0, 0, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := Refuse(mix, test.capacity)[test.class]
			assert.Assert(t, math.Abs(got-test.want) < 1e-9, "got %v, want %v", got, test.want)
		})
	}
	assert.DeepEqual(t, Refuse(nil, 0.5), []float64{})
	// A kind without demand is not refused.
	assert.Equal(t, Refuse([]Kind{{Demand: 0, Worth: 1}, {Demand: 5, Worth: 2}}, 0.5)[0], 0.0)
	// Kinds of equal worth are refused in equal parts.
	assert.DeepEqual(t, Refuse([]Kind{{Demand: 30, Worth: 1}, {Demand: 10, Worth: 1}, {Demand: 40, Worth: 2}}, 60), []float64{0.5, 0.5, 0})
	// The team's rank precedes the worth, however large the difference in cost is.
	assert.DeepEqual(t, Refuse([]Kind{{Class: 4, Demand: 30, Worth: 5000}, {Class: 3, Demand: 30, Worth: 1e-9}}, 30), []float64{1, 0})
}

// For any kinds, exactly the excess is refused, and no kind is refused while one that precedes it in the order is admitted.
func TestRefuseRemovesExcessInOrder(t *testing.T) {
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
		refused := Refuse(kinds, (1-excess)*total)
		sum := 0.0
		for i, k := range kinds {
			sum += refused[i] * k.Demand
			for j, other := range kinds {
				first := other.Class/identifier.RankLevels > k.Class/identifier.RankLevels ||
					other.Class/identifier.RankLevels == k.Class/identifier.RankLevels && other.Worth < k.Worth
				if refused[i] > 0 && first && other.Demand > 0 && refused[j] < 1-1e-9 {
					t.Fatalf("%+v has a refused fraction of %v though %+v has only %v", k, refused[i], other, refused[j])
				}
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
