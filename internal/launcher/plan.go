// A plan defines a deployment's services and their call graph. The call graphs are those of the users' deployments; the
// numbers of endpoints and slots are divided so that a fleet fits into one process, and every output states the divisor.
//
// Example: PlanOf("kitakaze") has bookings call slotBoard, and slotBoard call ice: a call chain of depth three.

package launcher

import (
	"fmt"
	"time"

	"github.com/jackdawtide/jackdawtide/deploy"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/presetter"
	"github.com/jackdawtide/jackdawtide/internal/responder"
)

// Service is one service of a plan.
type Service struct {
	Name string
	// Endpoints is the number of backend servers, each with its own node, spread over the failure domains.
	Endpoints   int
	Slots       int
	Connections int
	ServiceTime time.Duration
	ColdStart   time.Duration
	Calls       []responder.Nested
}

// Plan is a deployment to launch.
type Plan struct {
	Deployment string
	Domains    []string
	Services   []Service
	// Presets are published at the start; the first is put in force.
	Presets []definer.Preset
}

// UnknownDeploymentError reports a deployment without a plan.
type UnknownDeploymentError struct{ Deployment string }

// Error names the deployment and the known ones.
func (e UnknownDeploymentError) Error() string {
	return fmt.Sprintf("deployment: %q: want concordia or kitakaze", e.Deployment)
}

var presetNames = []string{"ordinary", "peak", "maintenance"}

// PlanOf returns the plan of one of the users' deployments, scaled down.
func PlanOf(deployment string) (Plan, error) {
	p := Plan{Deployment: deployment}
	switch deployment {
	case "concordia":
		p.Services = concordia
	case "kitakaze":
		p.Services = kitakaze
	default:
		return Plan{}, UnknownDeploymentError{Deployment: deployment}
	}
	for _, name := range presetNames {
		preset, err := readPreset(deployment, name)
		if err != nil {
			return Plan{}, err
		}
		p.Presets = append(p.Presets, preset)
	}
	for _, d := range p.Presets[0].Domains {
		p.Domains = append(p.Domains, string(d.Domain))
	}
	return p, nil
}

func readPreset(deployment, name string) (definer.Preset, error) {
	text, err := deploy.Preset(deployment, name)
	if err != nil {
		return definer.Preset{}, fmt.Errorf("preset %s of %s: %w", name, deployment, err)
	}
	return presetter.Parse(text)
}

var kitakaze = []Service{
	{
		Name: "bookings", Endpoints: 2, Slots: 17, Connections: 110, ServiceTime: 6 * time.Millisecond,
		Calls: []responder.Nested{{Service: "slotBoard", Method: "GET", Path: "/slots"}},
	},
	{
		Name: "slotBoard", Endpoints: 2, Slots: 10, Connections: 70, ServiceTime: 4 * time.Millisecond,
		Calls: []responder.Nested{{Service: "ice", Method: "GET", Path: "/bulletins"}},
	},
	{Name: "ice", Endpoints: 2, Slots: 8, Connections: 68, ServiceTime: 4 * time.Millisecond},
	{Name: "manifests", Endpoints: 2, Slots: 17, Connections: 110, ServiceTime: 5 * time.Millisecond},
}

var concordia = []Service{
	{
		Name: "orders", Endpoints: 2, Slots: 23, Connections: 150, ServiceTime: 6 * time.Millisecond,
		Calls: []responder.Nested{{Service: "portal", Method: "GET", Path: "/observances"}},
	},
	{
		Name: "portal", Endpoints: 2, Slots: 15, Connections: 100, ServiceTime: 4 * time.Millisecond,
		Calls: []responder.Nested{{Service: "prayerTimes", Method: "GET", Path: "/fastTimes"}},
	},
	{Name: "prayerTimes", Endpoints: 2, Slots: 8, Connections: 92, ServiceTime: 4 * time.Millisecond},
	{Name: "uploads", Endpoints: 2, Slots: 23, Connections: 150, ServiceTime: 5 * time.Millisecond},
}
