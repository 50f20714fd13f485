package table

import (
	"slices"
	"strings"
	"sync"
)

// Router finds the route of a request. Its cost depends on the number of segments of the longest prefix,
// not on the number of routes, accounts or targets. It is immutable and safe for concurrent use.
type Router struct {
	pair *Pair
	// prefixes, pools and accounts hold indexes into the pair's rows.
	prefixes map[hostPrefix]uint32
	pools    map[PoolName]uint32
	accounts map[AccountName]uint32
	// grants holds the allowed accounts of each route that is restricted to some accounts.
	grants map[grant]struct{}
	// tokens has the account of each token, where tokens identify accounts.
	tokens map[TokenDigest]uint32
	// hasHostRoutes says that at least one route is limited to a host.
	hasHostRoutes bool
	// maxSlashes is the number of slashes of the longest prefix with a slash at its end. Longer paths are
	// truncated to it, so that a path with many segments needs no more lookups.
	maxSlashes int
	// poolsByHost holds the pools of the routes of each host. It is built on first use.
	poolsByHost     map[string][]PoolName
	poolsByHostOnce sync.Once
}

// grant allows an account, given by its row index, to use a route.
type grant struct {
	route   RouteName
	account uint32
}

// Match is the result of routing a request that is not refused.
type Match struct {
	// Route points into the pair and must not be modified.
	Route *Route
	// Account is the verified account. It is empty if the caller gave none.
	Account AccountName
	// Token is the digest of the given token, which may be unknown if there is no Account; zero unless tokens identify
	// accounts.
	Token TokenDigest
	// Idempotent says that the request may be executed twice: its method is GET or HEAD, or the route is
	// idempotent. On a route that is marked as non-idempotent it is false.
	Idempotent bool
}

// NewRouter returns a router for a pair that passed Check.
func NewRouter(pair *Pair) *Router {
	r := &Router{
		pair:     pair,
		prefixes: make(map[hostPrefix]uint32, len(pair.Routes.Routes)),
		pools:    make(map[PoolName]uint32, len(pair.Pools.Pools)),
		accounts: make(map[AccountName]uint32, len(pair.Routes.Accounts)),
		grants:   make(map[grant]struct{}),
	}
	for i := range pair.Pools.Pools {
		r.pools[pair.Pools.Pools[i].Name] = uint32(i)
	}
	for i := range pair.Routes.Accounts {
		r.accounts[pair.Routes.Accounts[i].Name] = uint32(i)
	}
	if pair.Routes.AccountsByToken {
		r.tokens = tokensOf(pair.Routes.Accounts)
	}
	for i := range pair.Routes.Routes {
		route := &pair.Routes.Routes[i]
		prefix := pair.Paths.normalizePrefix(route.PathPrefix)
		r.prefixes[hostPrefix{route.Host, prefix}] = uint32(i)
		r.hasHostRoutes = r.hasHostRoutes || route.Host != ""
		r.maxSlashes = max(r.maxSlashes, strings.Count(withSlash(prefix), "/"))
		for _, a := range route.Accounts {
			r.grants[grant{route.Name, r.accounts[a]}] = struct{}{}
		}
	}
	return r
}

// Pair returns the pair that the router was built from.
func (r *Router) Pair() *Pair { return r.pair }

// Pool returns the pool with the name, or nil.
func (r *Router) Pool(name PoolName) *Pool {
	i, ok := r.pools[name]
	if !ok {
		return nil
	}
	return &r.pair.Pools.Pools[i]
}

// Route returns the route for a request with the given method, host and path, which is decoded unless paths are
// compared literally. It verifies the token if the caller gave an account, or if tokens identify accounts; then account is
// ignored. The error is of type *Refusal.
func (r *Router) Route(method, host, path string, account AccountName, token string) (Match, error) {
	return r.route(method, host, path, r.credentials(account, token))
}

// RouteToken is Route for a request of which only the digest of its token is known.
func (r *Router) RouteToken(method, host, path string, token TokenDigest) (Match, error) {
	return r.route(method, host, path, credentials{digest: token})
}

func (r *Router) route(method, host, path string, given credentials) (Match, error) {
	i, err := r.find(host, path)
	if err != nil {
		return Match{}, err
	}
	route := &r.pair.Routes.Routes[i]
	if len(route.Methods) > 0 && !slices.Contains(route.Methods, method) {
		return Match{}, &Refusal{Reason: RefusedMethod, Route: route.Name, Methods: route.Methods}
	}
	match := Match{Route: route, Idempotent: route.IsIdempotent(method)}
	if match.Account, match.Token, err = r.authorize(route, given); err != nil {
		return Match{}, err
	}
	return match, nil
}

// IsIdempotent reports whether a request with the method may be executed twice.
func (r *Route) IsIdempotent(method string) bool {
	return r.Idempotent || !r.NonIdempotent && (method == "GET" || method == "HEAD")
}

// WeightedPools returns the route's pools with their weights. A route without a split has one pool.
func (r *Route) WeightedPools() []WeightedPool {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []WeightedPool{{Pool: r.Pool, Weight: 1}}
}

// ChoosePool returns the pool for one request. random is a random number in [0, 1).
func (r *Route) ChoosePool(random float64) PoolName {
	if len(r.Split) == 0 {
		return r.Pool
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	remainder := random * total
	for _, s := range r.Split {
		if remainder -= s.Weight; remainder < 0 {
			return s.Pool
		}
	}
	return r.Split[len(r.Split)-1].Pool
}

// find returns the index of the route whose prefix is the longest match of path. A port in host is ignored.
func (r *Router) find(host, path string) (uint32, error) {
	literal := r.pair.Paths == MatchLiteral
	if !strings.HasPrefix(path, "/") || !literal && ambiguousPath(strings.TrimSuffix(path, "/")) {
		return 0, &Refusal{Reason: RefusedPath}
	}
	match := r.longestSegments
	if literal {
		match = r.longestLiteral
	}
	lookupPath := throughSlash(path, r.maxSlashes)
	if r.hasHostRoutes {
		if i, ok := match(normalizeHost(host), lookupPath); ok {
			return i, nil
		}
	}
	if i, ok := match("", lookupPath); ok {
		return i, nil
	}
	return 0, &Refusal{Reason: RefusedNoRoute}
}

// longestSegments returns the route of a host whose prefix is the longest match of path by whole segments.
func (r *Router) longestSegments(host, path string) (uint32, bool) {
	for prefix := strings.TrimSuffix(path, "/"); prefix != ""; prefix = prefix[:strings.LastIndexByte(prefix, '/')] {
		if i, ok := r.prefixes[hostPrefix{host, prefix}]; ok {
			return i, true
		}
	}
	return 0, false
}

// longestLiteral returns the route of a host with the longest prefix that path begins with.
func (r *Router) longestLiteral(host, path string) (uint32, bool) {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if i, ok := r.prefixes[hostPrefix{host, path[:end+1]}]; ok {
			return i, true
		}
	}
	return 0, false
}

// normalizePrefix returns a prefix in the form in which the router and the check for repeated prefixes compare it.
func (m PathMatching) normalizePrefix(prefix string) string {
	if m == MatchLiteral {
		return withSlash(prefix)
	}
	return prefix
}

func withSlash(prefix string) string { return strings.TrimSuffix(prefix, "/") + "/" }

// normalizeHost returns the host of a Host field in lower case, without the port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// PoolsForHost returns the pools that requests for a host may be sent to: first those of the host's own
// routes, then those of routes for all hosts, each in the order of the routes.
func (r *Router) PoolsForHost(host string) []PoolName {
	r.poolsByHostOnce.Do(r.buildPoolsByHost)
	hostPools := r.poolsByHost[normalizeHost(host)]
	names := slices.Clone(hostPools)
	for _, name := range r.poolsByHost[""] {
		if !slices.Contains(hostPools, name) {
			names = append(names, name)
		}
	}
	return names
}

func (r *Router) buildPoolsByHost() {
	type hostPool struct {
		host string
		pool PoolName
	}
	seen := make(map[hostPool]bool)
	r.poolsByHost = make(map[string][]PoolName)
	for i := range r.pair.Routes.Routes {
		route := &r.pair.Routes.Routes[i]
		for _, s := range route.WeightedPools() {
			if key := (hostPool{route.Host, s.Pool}); !seen[key] {
				seen[key] = true
				r.poolsByHost[route.Host] = append(r.poolsByHost[route.Host], s.Pool)
			}
		}
	}
}

// throughSlash returns path up to and including its nth slash, or all of it if it has fewer.
func throughSlash(path string, n int) string {
	for i := range len(path) {
		if path[i] != '/' {
			continue
		}
		if n--; n == 0 {
			return path[:i+1]
		}
	}
	return path
}

// ambiguousPath reports whether path has an empty segment or a dot segment. A target could resolve such
// a path to another path, and so bypass the accounts of the other path's route.
func ambiguousPath(path string) bool {
	for rest := path; rest != ""; {
		segment := rest[1:]
		if end := strings.IndexByte(segment, '/'); end >= 0 {
			segment = segment[:end]
		}
		if segment == "" || segment == "." || segment == ".." {
			return true
		}
		rest = rest[1+len(segment):]
	}
	return false
}
