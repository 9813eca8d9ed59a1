package inspector

// A node and the operators' command line must agree on the paths and on the JSON of the admin endpoint; both take
// them from here.
//
// Example: GET /status → {"node":{"name":"portal-1",…},"fleet":[…]}

import "fmt"

// Paths of the admin endpoint.
const (
	StatusPath  = "/status"
	DumpPath    = "/dump"
	ExplainPath = "/explain/"
	MetricsPath = "/debug/vars"
)

// NodeStatus is what is known of the configuration in force at one node.
type NodeStatus struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failureDomain"`
	// Preset is the name of the preset in force, empty before the first switch.
	Preset string `json:"preset"`
	// Version counts the configuration changes that the node has accepted.
	Version int64 `json:"version"`
	// SilenceMs is how old the node's newest news from the log is; -1 means that it never had any.
	SilenceMs int64 `json:"silenceMs"`
	Leaving   bool  `json:"leaving"`
}

// Status is the answer of GET /status: the node itself, and what it last heard of each other node.
type Status struct {
	Self  NodeStatus   `json:"self"`
	Fleet []NodeStatus `json:"fleet"`
}

// UnreachableError reports an admin endpoint that gave no answer.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e UnreachableError) Error() string {
	return fmt.Sprintf("admin endpoint %s can't be reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e UnreachableError) Unwrap() error {
	return e.Cause
}

// RefusedError reports an admin endpoint that answered with another status than success.
type RefusedError struct {
	Address string
	Status  int
	Detail  string
}

// Error names the address, the status and the endpoint's words.
func (e RefusedError) Error() string {
	return fmt.Sprintf("admin endpoint %s answered %d: %s", e.Address, e.Status, e.Detail)
}
