package inspector

// The paths and the JSON types of the admin endpoint are shared by its server and the operators' command line.
//
// Example: GET /status → {"self":{"node":"portal-1",…},"fleet":[…]}

import "fmt"

// Paths of the admin endpoint.
const (
	StatusPath  = "/status"
	DumpPath    = "/dump"
	ExplainPath = "/explain/"
	MetricsPath = "/debug/vars"
)

// NodeStatus is the known state of the configuration in force at one node.
type NodeStatus struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failureDomain"`
	// Preset is the name of the preset in force, empty before the first switch.
	Preset string `json:"preset"`
	// Version counts the configuration changes that the node has accepted.
	Version int64 `json:"version"`
	// SilenceMs is the age of the node's newest information from the log; -1 means that it never had any.
	SilenceMs int64 `json:"silenceMs"`
	Leaving   bool  `json:"leaving"`
}

// Status is the answer to GET /status: the node itself, and the last known status of each other node of its own failure
// domain.
type Status struct {
	Self  NodeStatus   `json:"self"`
	Fleet []NodeStatus `json:"fleet"`
}

// UnreachableError reports that an admin endpoint gave no answer.
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

// RefusedError reports that an admin endpoint answered with a status other than 200, or with an answer that can't be used.
type RefusedError struct {
	Address string
	Status  int
	Detail  string
}

// Error names the address, the status and the detail.
func (e RefusedError) Error() string {
	return fmt.Sprintf("admin endpoint %s answered %d: %s", e.Address, e.Status, e.Detail)
}
