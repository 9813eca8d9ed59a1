// Each kind of id has a type of its own, so that the compiler rejects a team's name where a service's name is expected.
//
// Example: a func(Team) does not accept a Service.

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

// Fingerprint identifies requests that ask for the same, whatever their ids: a hash of method, host, path, query, team and body.
type Fingerprint uint64

// Request is the id of one call, assigned by the node at which it entered.
type Request string

// Preset is the name of a preset.
type Preset string

// Version is the number of configuration changes accepted so far.
type Version int64

// Offset is the position of a record on the platform's log.
type Offset int64

// Epoch is the number of a term of a claim's holder; it grows with each new holder.
type Epoch int64

// KeyHash is the SHA-256 of a team's key, in lower-case hexadecimal.
type KeyHash string

// Idempotency is the id by which a caller names a request that must run at most once.
type Idempotency string

// Tokens is an amount of a team's quota, in thousandths of a call, so that quota shares are whole numbers.
type Tokens int64

// TokensPerCall is the number of tokens that one call takes.
const TokensPerCall Tokens = 1000
