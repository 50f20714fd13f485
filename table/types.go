package table

import "time"

// Named types for ids and units that the tables use.
type (
	// Revision is a store-wide revision of the platform's configuration service. It grows with
	// every change of any value, so two tables read at one Revision existed together.
	Revision uint64
	// RouteName names a route; unique in the routes table.
	RouteName string
	// PoolName names a pool; unique in the pools table. Routes refer to pools by it.
	PoolName string
	// TargetID names a target; unique within its pool.
	TargetID string
	// AccountName names a caller's account; unique in the routes table.
	AccountName string
	// FailureDomain names a failure domain, such as "donau-ost".
	FailureDomain string
	// Millis is a duration in milliseconds, the unit of all durations in the tables.
	Millis int64
)

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Routes is the routes table: what callers may reach.
type Routes struct {
	// Version is the operators' own number of the tables; 0 if they don't count. It never falls.
	Version int64 `json:"version,omitempty"`
	// Limits bound what callers may send.
	Limits CallerLimits `json:"limits,omitzero"`
	// Routes has unique names and unique path prefixes.
	Routes []Route `json:"routes"`
	// Accounts has unique names.
	Accounts []AccountRow `json:"accounts,omitempty"`
}

// Route is one row of the routes table.
type Route struct {
	// Name is not empty.
	Name RouteName `json:"name"`
	// Host limits the route to requests for one host; empty means every host. Routes of the
	// request's host go before those of every host.
	Host string `json:"host,omitempty"`
	// PathPrefix starts with "/" and ends without one; the longest prefix by path segments wins.
	PathPrefix string `json:"pathPrefix"`
	// Methods lists the allowed methods; empty allows all.
	Methods []string `json:"methods,omitempty"`
	// Pool is the name of a row of the pools table; empty if Split is set.
	Pool PoolName `json:"pool,omitempty"`
	// Split distributes the requests over several pools.
	Split []WeightedPool `json:"split,omitempty"`
	// Idempotent says that running a request twice does no harm. GET and HEAD count as
	// idempotent on every route; other methods only where this is set.
	Idempotent bool `json:"idempotent,omitempty"`
	// NonIdempotent says that no request of the route may run twice, whatever its method.
	NonIdempotent bool `json:"nonIdempotent,omitempty"`
	// Upload marks requests with large bodies.
	Upload bool `json:"upload,omitempty"`
	// MaxAttempts is the most targets that one request may be sent to; 0 means no limit of the route.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Priority is the operators' rank of the route, 0 the highest. Placement does not use it: waiting requests are
	// ordered by whether they may be repeated, and by deadline.
	Priority int `json:"priority,omitempty"`
	// ObjectiveMs is the time within which an answer is worth most; 0 means no objective. Placement does not use it.
	ObjectiveMs Millis `json:"objectiveMs,omitempty"`
	// Accounts lists the accounts that may use the route; empty allows every caller.
	Accounts []AccountName `json:"accounts,omitempty"`
	// TimeoutMs bounds a request that brings no deadline of its own. 1 to 3,600,000.
	TimeoutMs Millis `json:"timeoutMs"`
	// MaxBodyBytes bounds a request's body. 0 means no body is allowed.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
}

// WeightedPool is a pool's part of the requests of a route.
type WeightedPool struct {
	// Pool is the name of a row of the pools table.
	Pool PoolName `json:"pool"`
	// Weight is the pool's part relative to the sum of the route's weights; at least 1.
	Weight int `json:"weight"`
}

// CallerLimits bound what callers may send and how long they may take. Fields that are 0 set no limit
// beyond that of the entry's settings.
type CallerLimits struct {
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes int `json:"maxHeaderBytes,omitempty"`
	// HeaderTimeoutMs bounds the time in which the head must arrive.
	HeaderTimeoutMs Millis `json:"headerTimeoutMs,omitempty"`
	// IdleTimeoutMs is how long an unused connection is kept.
	IdleTimeoutMs Millis `json:"idleTimeoutMs,omitempty"`
}

// AccountRow is one caller's account.
type AccountRow struct {
	Name AccountName `json:"name"`
	// TokenSHA256 is the SHA-256 of the account's bearer token in lower-case hex.
	TokenSHA256 string `json:"tokenSha256"`
}

// Pools is the pools table: the targets behind each name.
type Pools struct {
	// FleetGroups is the number of groups that the entries are divided into; at least 1.
	FleetGroups int `json:"fleetGroups"`
	// Pools has unique names.
	Pools []Pool `json:"pools"`
}

// Pool is one row of the pools table.
type Pool struct {
	Name PoolName `json:"name"`
	// Floor is the least number of targets that must stay in service; 0 to len(Targets).
	Floor int `json:"floor"`
	// Slots is how many requests a target runs at a time; 1 to 1,000.
	Slots int `json:"slots"`
	// MaxConnections is how many connections a target takes from the whole fleet.
	MaxConnections int `json:"maxConnections"`
	// CellSize is how many targets of the pool one entry owns on average; 0 means 64. Rendezvous
	// hashing makes the cells of a pool with several cells differ in size.
	CellSize int `json:"cellSize,omitempty"`
	// CellDomains, if it is set, divides the pool into one cell for each of its entries, with the targets of that
	// failure domain. It is the same in all pools; cells with one index have the same owner, so that a caller
	// finds every pool of a host at one entry of its own failure domain.
	CellDomains []FailureDomain `json:"cellDomains,omitempty"`
	// ProbePath and LoadPath are the target's health and load endpoints; empty means none.
	ProbePath string `json:"probePath,omitempty"`
	LoadPath  string `json:"loadPath,omitempty"`
	Policy    Policy `json:"policy"`
	// Targets has unique ids and unique addresses.
	Targets []Target `json:"targets"`
}

// Policy is how a firm weighs the two kinds of error and what a pool does under load.
type Policy struct {
	// FalseEjectionEveryHours is the mean time between false ejections in this pool that the
	// firm accepts, in hours. Larger values need more evidence; 1 to 1,000,000.
	FalseEjectionEveryHours float64 `json:"falseEjectionEveryHours"`
	// SlowFactor is how many times slower than its peers a target must be to count as a
	// straggler; 1.5 to 100. 0 means 4.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// QueueLimit is the most requests that wait for a slot; 0 means 4 times the pool's slots.
	QueueLimit int `json:"queueLimit,omitempty"`
	// RetryPercent is the most retries as a percentage of requests; 0 to 100. The default is 10.
	RetryPercent *float64 `json:"retryPercent,omitempty"`
	// SpellMs is the mean length of the spells in which a target of the pool fails most requests and then
	// recovers by itself. 0 means that targets are not judged by spells but by their failure ratio.
	SpellMs Millis `json:"spellMs,omitempty"`
	// RetryBurst is how many retries beyond RetryPercent may come in any 10 s. 0 means that five may follow
	// each other, after which they are earned again by requests.
	RetryBurst int `json:"retryBurst,omitempty"`
	// RampMs is how long a new or returned target takes to reach all of its slots.
	RampMs Millis `json:"rampMs,omitempty"`
}

// Target is one server of a pool.
type Target struct {
	ID TargetID `json:"id"`
	// Address is an IP address and a port, such as "10.0.3.7:8080".
	Address       string        `json:"address"`
	FailureDomain FailureDomain `json:"failureDomain"`
	// Leaving says that the target receives no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Slots is how many requests the target runs at a time; 0 means the pool's.
	Slots int `json:"slots,omitempty"`
	// Started tells the target's process from earlier ones with the same id: the time of its start in
	// milliseconds since 1970, or 0 if it isn't known.
	Started int64 `json:"started,omitempty"`
}

// Pair is a routes table and a pools table that were read at one store-wide revision and that
// passed Check together. A Pair is immutable once built.
type Pair struct {
	Revision Revision
	Routes   *Routes
	Pools    *Pools
	// Digest is the xxhash of the values' raw bytes in name order, so two entries can tell
	// whether they hold the same pair without exchanging it.
	Digest uint64
	// Values are the raw values by name, kept so that peers can fetch and check the pair.
	Values map[string][]byte
}
