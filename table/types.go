package table

import "time"

// Named types for IDs and units that the tables use.
type (
	// RouteName is the name of a route, unique in the routes table.
	RouteName string
	// PoolName is the name of a pool, unique in the pools table. Routes refer to pools by it.
	PoolName string
	// TargetID is the ID of a target, unique within its pool.
	TargetID string
	// AccountName is the name of a client account, unique in the routes table.
	AccountName string
	// FailureDomain is the name of a failure domain, such as "donau-ost".
	FailureDomain string
	// Millis is a duration in milliseconds, the unit of all durations in the tables.
	Millis int64
)

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Routes is the routes table. It says which requests are accepted and which pool serves them.
type Routes struct {
	// Version is the operators' own version number of the tables; 0 if they use none. It never
	// decreases.
	Version int64 `json:"version,omitempty"`
	// Limits bounds the size and duration of requests from callers.
	Limits CallerLimits `json:"limits,omitzero"`
	// Routes has unique names and unique path prefixes.
	Routes []Route `json:"routes"`
	// Accounts has unique names.
	Accounts []AccountRow `json:"accounts,omitempty"`
	// AccountsByToken says that a token alone identifies its account, and that requests on all routes but the public
	// ones need one.
	AccountsByToken bool `json:"accountsByToken,omitempty"`
}

// Route is one row of the routes table.
type Route struct {
	// Name must not be empty.
	Name RouteName `json:"name"`
	// Host limits the route to requests for one host. Empty matches every host. Routes with the host of
	// the request take precedence over routes without a host.
	Host string `json:"host,omitempty"`
	// PathPrefix starts with "/". It does not end with "/" if paths are compared by segments. The route with
	// the longest matching prefix wins; see PathMatching.
	PathPrefix string `json:"pathPrefix"`
	// Methods lists the allowed methods; empty allows all.
	Methods []string `json:"methods,omitempty"`
	// Pool is the name of a row of the pools table. It is empty if Split is set.
	Pool PoolName `json:"pool,omitempty"`
	// Split distributes the requests over several pools by weight.
	Split []WeightedPool `json:"split,omitempty"`
	// Idempotent says that the route's requests may be executed twice, whatever their method. On other
	// routes only GET and HEAD count as idempotent.
	Idempotent bool `json:"idempotent,omitempty"`
	// NonIdempotent says that no request of the route may be executed twice, whatever its method.
	NonIdempotent bool `json:"nonIdempotent,omitempty"`
	// Upload marks requests with large bodies.
	Upload bool `json:"upload,omitempty"`
	// Public says that requests need no account although the accounts of the tables are identified by tokens.
	Public bool `json:"public,omitempty"`
	// MaxAttempts is the maximum number of targets that one request is sent to; 0 means that the route sets no limit.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Priority is the operators' priority of the route; 0 is the highest. Pools with SchedulePriority serve queued
	// requests by it; the others by whether they are retryable, and by deadline.
	Priority int `json:"priority,omitempty"`
	// ObjectiveMs is the response time objective of the route; 0 means none. Target selection ignores
	// it.
	ObjectiveMs Millis `json:"objectiveMs,omitempty"`
	// Accounts lists the accounts that may use the route; empty allows every caller.
	Accounts []AccountName `json:"accounts,omitempty"`
	// TimeoutMs is the timeout of a request without a deadline of its own, from 1 to 3,600,000.
	TimeoutMs Millis `json:"timeoutMs"`
	// MaxBodyBytes is the maximum size of a request body; 0 means that no body is allowed.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
}

// WeightedPool is one of several pools that serve a route, with its weight.
type WeightedPool struct {
	// Pool is the name of a row of the pools table.
	Pool PoolName `json:"pool"`
	// Weight is from 0.000001 to 1,000,000 and may have a fraction. The pool gets Weight / (sum of the route's weights) of the requests.
	Weight float64 `json:"weight"`
}

// CallerLimits bounds the size and duration of requests from callers. A field of 0 leaves the limit of
// the entry's settings in place.
type CallerLimits struct {
	// MaxHeaderBytes is the maximum size of a request's header.
	MaxHeaderBytes int `json:"maxHeaderBytes,omitempty"`
	// HeaderTimeoutMs is the time within which the header must arrive.
	HeaderTimeoutMs Millis `json:"headerTimeoutMs,omitempty"`
	// IdleTimeoutMs is how long an idle connection is kept open.
	IdleTimeoutMs Millis `json:"idleTimeoutMs,omitempty"`
}

// AccountRow is one client account.
type AccountRow struct {
	Name AccountName `json:"name"`
	// TokenSHA256 is the SHA-256 of the account's token in lower-case hex digits. It is empty if Tokens is set or the
	// account has no token, which AccountsByToken requires.
	TokenSHA256 string `json:"tokenSha256,omitempty"`
	// Tokens are the SHA-256 of the account's tokens in lower-case hex digits. They are set only with AccountsByToken,
	// and differ from those of all other accounts.
	Tokens []string `json:"tokensSha256,omitempty"`
	// Label is the name that targets are told, if it can't be a Name; empty means Name.
	Label string `json:"label,omitempty"`
	// Priority, if it is set, takes precedence over the priority of the route; 0 is the highest.
	Priority *int `json:"priority,omitempty"`
	// RatePerSecond and Burst are the account's quota over all entries: the requests per second that may run, and how
	// many more at once. A rate of 0 means that there is no quota.
	RatePerSecond float64 `json:"requestsPerSecond,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
}

// DisplayName is the name of the account that targets are told.
func (a *AccountRow) DisplayName() string {
	if a.Label != "" {
		return a.Label
	}
	return string(a.Name)
}

// Pools is the pools table. It holds the targets of each pool.
type Pools struct {
	// FleetGroups is the number of groups that the entries are divided into; at least 1.
	FleetGroups int `json:"fleetGroups"`
	// Pools has unique names.
	Pools []Pool `json:"pools"`
}

// Pool is one row of the pools table.
type Pool struct {
	Name PoolName `json:"name"`
	// Floor is the minimum number of targets that are not ejected, from 0 to len(Targets).
	Floor int `json:"floor"`
	// Slots is the maximum number of concurrent requests per target, from 1 to 1,000.
	Slots int `json:"slots"`
	// MaxConnections is the maximum number of connections from the whole fleet to one target.
	MaxConnections int `json:"maxConnections"`
	// CellSize is the mean number of targets per cell; 0 means 64. If a pool has several cells, they
	// differ in size because targets are assigned to them by rendezvous hashing.
	CellSize int `json:"cellSize,omitempty"`
	// CellDomains, if it is set, divides the pool into one cell per element, with targets of that
	// failure domain. It is the same in all pools. Cells with the same index have the same owner, so
	// that a caller finds every pool of a host at one entry of its own failure domain.
	CellDomains []FailureDomain `json:"cellDomains,omitempty"`
	// ProbePath and LoadPath are the target's health and load endpoints. Empty means that it has none.
	ProbePath string `json:"probePath,omitempty"`
	LoadPath  string `json:"loadPath,omitempty"`
	Policy    Policy `json:"policy"`
	// Targets has unique IDs and unique addresses.
	Targets []Target `json:"targets"`
}

// Policy sets the trade-off between false and missed ejections of targets, and the limits of a pool
// under load.
type Policy struct {
	// FalseEjectionEveryHours is the acceptable mean time between false ejections in this pool, in
	// hours, from 1 to 1,000,000. Larger values require more evidence before a target is ejected.
	FalseEjectionEveryHours float64 `json:"falseEjectionEveryHours"`
	// SlowFactor is how many times slower than its peers a target must be to count as a slow outlier,
	// from 1.5 to 100. 0 means 4.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// QueueLimit is the maximum number of requests that wait for a slot; 0 means 4 times the pool's
	// slots.
	QueueLimit int `json:"queueLimit,omitempty"`
	// RetryPercent is the maximum number of retries as a percentage of requests, from 0 to 100. The
	// default is 10.
	RetryPercent *float64 `json:"retryPercent,omitempty"`
	// SpellMs is the mean length of failure episodes, in which a target fails most requests and then
	// recovers by itself. 0 means that targets are classified by their failure ratio and not by
	// episodes.
	SpellMs Millis `json:"spellMs,omitempty"`
	// RetryBurst is the number of retries beyond RetryPercent that are allowed in any 10 s, whichever
	// entries make them. Two fifths can be made at once, the rest evenly over the time. 0 allows
	// bursts of five retries, refilled by further requests.
	RetryBurst float64 `json:"retryBurst,omitempty"`
	// RampMs is the length of the slow start, in which a new or restored target reaches all of its
	// slots. 0 means 2,000.
	RampMs Millis `json:"rampMs,omitempty"`
	// Scheduling is the order in which queued requests get slots.
	Scheduling Scheduling `json:"scheduling,omitempty"`
	// CostAware says that targets are chosen by the expected completion of a request, from its likely cost and the work
	// that each target still has to do, instead of by the number of requests in flight.
	CostAware bool `json:"costAware,omitempty"`
}

// Scheduling is the order in which the queued requests of a pool get slots.
type Scheduling string

const (
	// ScheduleRetryable serves requests that can't be retried before the others, by deadline.
	ScheduleRetryable Scheduling = ""
	// SchedulePriority serves requests by the priority of their account and route, and shares slot time between accounts.
	SchedulePriority Scheduling = "priority"
)

// Target is one back-end server of a pool.
type Target struct {
	ID TargetID `json:"id"`
	// Address is an IP address and a port, such as "10.0.3.7:8080".
	Address       string        `json:"address"`
	FailureDomain FailureDomain `json:"failureDomain"`
	// Leaving says that the target gets no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Slots is the maximum number of concurrent requests of the target; 0 means the value of the pool.
	Slots int `json:"slots,omitempty"`
	// Started is the start time of the target's process in milliseconds since 1970, or 0 if it is
	// unknown. It distinguishes the process from earlier ones with the same ID.
	Started int64 `json:"started,omitempty"`
}

// Pair is a routes table and a pools table that were read at one store-wide revision and passed Check
// together. It is immutable.
type Pair struct {
	Revision Revision
	Routes   *Routes
	Pools    *Pools
	Paths    PathMatching
	// Digest is the xxhash of the raw values in the order of their keys. By comparing digests two
	// entries can tell whether they have the same pair without exchanging it.
	Digest uint64
	// Values are the raw values by key. They are retained so that peers can fetch and check the pair.
	Values map[string][]byte
}
