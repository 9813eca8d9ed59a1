package main

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/loader"
	"github.com/jackdawtide/jackdawtide/internal/presetter"
)

const deployDirectory = "../../deploy/"

// deploymentShape holds the properties that all presets of one deployment must share.
type deploymentShape struct {
	domains  []identifier.FailureDomain
	services []identifier.Service
	teams    int
	urgent   string
}

var deploymentShapes = map[string]deploymentShape{
	"concordia": {
		domains:  []identifier.FailureDomain{"bratislava", "nitra", "trencin", "trnava"},
		services: []identifier.Service{"orders", "portal", "prayerTimes", "uploads"},
		teams:    8,
		urgent:   "prayerTimes/fastTimes",
	},
	"kitakaze": {
		domains:  []identifier.FailureDomain{"abashiri", "mombetsu", "wakkanai"},
		services: []identifier.Service{"bookings", "ice", "manifests", "slotBoard"},
		teams:    8,
		urgent:   "ice/bulletins",
	},
}

func shapeOf(p definer.Preset) deploymentShape {
	s := deploymentShape{teams: len(p.Teams)}
	for _, d := range p.Domains {
		s.domains = append(s.domains, d.Domain)
	}
	for _, v := range p.Services {
		s.services = append(s.services, v.Name)
		for _, r := range v.Routes {
			if r.Priority == identifier.Urgent {
				s.urgent += string(v.Name) + r.Prefix
			}
		}
	}
	slices.Sort(s.domains)
	slices.Sort(s.services)
	return s
}

// Operators copy the example presets, node settings and systemd unit into production. The test guards against an example
// that the program refuses, a preset that sheds urgent ice bulletins before slot searches, and a unit whose stop timeout
// is shorter than a node's drain timeout, so that a manifest upload is killed half way.
func TestExamplesAreValid(t *testing.T) {
	unit, err := os.ReadFile(deployDirectory + "jackdawtide.service")
	assert.NilError(t, err)
	found := regexp.MustCompile(`TimeoutStopSec=(\d+)min`).FindStringSubmatch(string(unit))
	assert.Equal(t, len(found), 2)
	stop, err := time.ParseDuration(found[1] + "m")
	assert.NilError(t, err)
	for name, want := range deploymentShapes {
		presets, err := filepath.Glob(deployDirectory + name + "/*.toml")
		assert.NilError(t, err)
		assert.Equal(t, len(presets), 3)
		for _, f := range presets {
			data, err := os.ReadFile(f)
			assert.NilError(t, err)
			p, err := presetter.Parse(data)
			assert.NilError(t, err, f)
			assert.Equal(t, string(p.Name)+".toml", filepath.Base(f))
			got := shapeOf(p)
			assert.DeepEqual(t, got.domains, want.domains)
			assert.DeepEqual(t, got.services, want.services)
			assert.Equal(t, got.teams, want.teams)
			assert.Equal(t, got.urgent, want.urgent)
		}
		nodes, err := filepath.Glob(deployDirectory + name + "/nodes/*.toml")
		assert.NilError(t, err)
		assert.Equal(t, len(nodes), 4)
		for _, f := range nodes {
			data, err := os.ReadFile(f)
			assert.NilError(t, err)
			s, err := loader.Parse(data)
			assert.NilError(t, err, f)
			assert.Assert(t, slices.Contains(want.domains, s.Domain), f)
			assert.Assert(t, stop > s.Limits.DrainTimeout.Std(), f)
		}
	}
}
