// Two strings that mean different things must not be mixed up by a careless call: a team's name passed
// where a service's belongs is an error for the compiler, not for an end user.

package identifier

// Team is the name of a tenant, as operators publish it.
type Team string

// Service is the name of a service, the first part of a call's path.
type Service string

// Route names a route of the configuration.
type Route string

// Region is the name of a region, which holds some failure domains.
type Region string

// FailureDomain is the name of a failure domain.
type FailureDomain string

// Node is the id of one process of the system; a restarted process has a new id.
type Node string

// Endpoint is the id of one backend server, unique while it is announced.
type Endpoint string

// Request is the id of one call, given by the node that took it in.
type Request string

// Preset is the name of a preset.
type Preset string

// Version counts the accepted configuration changes.
type Version int64

// Offset is the position of a record on the platform's log.
type Offset int64

// Epoch counts the holders of one claim.
type Epoch int64

// KeyHash is the SHA-256 of a team's key, in lower-case hexadecimal.
type KeyHash string

// Idempotency is the id by which a caller names a request that must run at most once.
type Idempotency string

// Tokens counts a team's right to send calls, in thousandths of a call, so that shares stay whole numbers.
type Tokens int64

// TokensPerCall is what one call costs.
const TokensPerCall Tokens = 1000
