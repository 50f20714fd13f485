package table

import "strings"

func (c *checker) checkRoutes(t *Routes, pools *Pools) {
	c.file = RoutesKey
	checkRange(c, location{}, "version", t.Version, 0, maxVersion)
	c.checkRoutePools(t, pools)
	accounts := c.checkAccounts(t)
	names := make(map[RouteName]location, len(t.Routes))
	prefixes := make(map[hostPrefix]location, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		at := rowLocation(routesList, i)
		checkName(c, at, "name", r.Name)
		checkUnique(c, names, r.Name, at, "name")
		c.checkPrefix(at, r.PathPrefix)
		checkUnique(c, prefixes, hostPrefix{r.Host, c.paths.normalizePrefix(r.PathPrefix)}, at, "pathPrefix")
		c.checkHost(at, r.Host)
		checkRange(c, at, "maxAttempts", r.MaxAttempts, 0, MaxAttempts)
		checkRange(c, at, "priority", r.Priority, 0, MaxPriority)
		checkRange(c, at, "objectiveMs", int64(r.ObjectiveMs), 0, MaxMillis)
		if r.Idempotent && r.NonIdempotent {
			c.addProblem(at, "nonIdempotent", "a route can't be both idempotent and nonIdempotent")
		}
		checkRange(c, at, "timeoutMs", int64(r.TimeoutMs), 1, MaxMillis)
		checkRange(c, at, "maxBodyBytes", r.MaxBodyBytes, 0, MaxBodyBytes)
		c.checkMethods(at, r.Methods)
		c.checkRouteAccounts(at, r.Accounts, accounts)
	}
}

// checkAccounts reports invalid accounts and returns the location of each account.
func (c *checker) checkAccounts(t *Routes) map[AccountName]location {
	accounts := make(map[AccountName]location, len(t.Accounts))
	tokens := make(map[string]location, len(t.Accounts))
	for i := range t.Accounts {
		a := &t.Accounts[i]
		at := rowLocation(accountsList, i)
		checkName(c, at, "name", a.Name)
		checkUnique(c, accounts, a.Name, at, "name")
		c.checkTokens(at, a, t.AccountsByToken, tokens)
		checkRange(c, at, "label", len(a.Label), 0, maxLabelLength)
		if a.Priority != nil {
			checkRange(c, at, "priority", *a.Priority, 0, MaxPriority)
		}
		checkRange(c, at, "requestsPerSecond", a.RatePerSecond, 0, MaxRatePerSecond)
		checkRange(c, at, "burst", a.Burst, 0, MaxRatePerSecond)
	}
	return accounts
}

// checkTokens reports digests of tokens that are none, and tokens that identify several accounts.
func (c *checker) checkTokens(at location, a *AccountRow, byToken bool, tokens map[string]location) {
	if !byToken {
		if !isSHA256(a.TokenSHA256) {
			c.addProblem(at, "tokenSha256", "tokenSha256 is not a SHA-256 in 64 lower-case hex digits")
		}
		if len(a.Tokens) > 0 {
			c.addProblem(at, "tokensSha256", "an account has several tokens only if accountsByToken is set")
		}
		return
	}
	if a.TokenSHA256 != "" {
		c.addProblem(at, "tokenSha256", "tokensSha256 replaces tokenSha256 if accountsByToken is set")
	}
	for i, digest := range a.Tokens {
		if !isSHA256(digest) {
			c.addProblem(at.child(tokensList, i), "", "this is not a SHA-256 in 64 lower-case hex digits")
			continue
		}
		if _, repeated := tokens[digest]; repeated {
			c.addProblem(at.child(tokensList, i), "", "the token is listed twice")
		}
		tokens[digest] = at
	}
}

// checkRoutePools reports routes to pools that don't exist.
func (c *checker) checkRoutePools(t *Routes, pools *Pools) {
	if pools == nil {
		return
	}
	names := make(map[PoolName]bool, len(pools.Pools))
	for i := range pools.Pools {
		names[pools.Pools[i].Name] = true
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		at := rowLocation(routesList, i)
		switch {
		case len(r.Split) > 0 && r.Pool != "":
			c.addProblem(at, "split", "a route has either a pool or a split")
		case len(r.Split) == 0 && !names[r.Pool]:
			c.addProblem(at, "pool", "pool %q is not in the pools table", r.Pool)
		}
		for j, s := range r.Split {
			if !names[s.Pool] {
				c.addProblem(at.child(splitList, j), "pool", "pool %q is not in the pools table", s.Pool)
			}
			checkRange(c, at.child(splitList, j), "weight", s.Weight, MinWeight, MaxWeight)
		}
	}
}

// hostPrefix is a host and a path prefix. Together they are unique among the routes.
type hostPrefix struct{ host, prefix string }

// String returns the host, if there is one, followed by the prefix.
func (h hostPrefix) String() string { return h.host + h.prefix }

// checkHost reports hosts that can't equal the Host field of any request.
func (c *checker) checkHost(at location, host string) {
	if host == "" {
		return
	}
	if len(host) > maxHostLength || !validName(strings.Trim(host, "[]")) || host != strings.ToLower(host) {
		c.addProblem(at, "host", "host %q is not a host name in lower case", host)
	}
}

// checkPrefix reports prefixes that can't match the path of any request.
func (c *checker) checkPrefix(at location, prefix string) {
	if c.paths == MatchLiteral {
		if !strings.HasPrefix(prefix, "/") {
			c.addProblem(at, "pathPrefix", "pathPrefix %q must start with \"/\"", prefix)
		}
		return
	}
	switch {
	case !strings.HasPrefix(prefix, "/") || strings.HasSuffix(prefix, "/"):
		c.addProblem(at, "pathPrefix", "pathPrefix %q must start with \"/\" and end without one", prefix)
	case strings.ContainsAny(prefix, "?#%") || strings.IndexFunc(prefix, notInURL) >= 0:
		c.addProblem(at, "pathPrefix", "pathPrefix %q holds characters that a decoded path segment can't be compared with", prefix)
	case strings.Count(prefix, "/") > maxPrefixSegments:
		c.addProblem(at, "pathPrefix", "pathPrefix has more than %d segments", maxPrefixSegments)
	case ambiguousPath(prefix):
		c.addProblem(at, "pathPrefix", "pathPrefix %q has an empty segment or a dot segment", prefix)
	}
}

// IsSegmentPrefix reports whether tables that are read with MatchSegments may hold the prefix.
func IsSegmentPrefix(prefix string) bool {
	var c checker
	c.checkPrefix(location{}, prefix)
	return len(c.problems) == 0
}

func (c *checker) checkMethods(route location, methods []string) {
	seen := make(map[string]location, len(methods))
	for i, m := range methods {
		at := route.child(methodsList, i)
		if m == "" || strings.IndexFunc(m, notUpper) >= 0 {
			c.addProblem(at, "", "method %q is not a word in capital letters", m)
		}
		if m == "CONNECT" || m == "TRACE" {
			c.addProblem(at, "", "method %s can't be passed on", m)
		}
		checkUnique(c, seen, m, at, "")
	}
}

func notUpper(r rune) bool { return r < 'A' || r > 'Z' }

func (c *checker) checkRouteAccounts(route location, names []AccountName, accounts map[AccountName]location) {
	if len(names) == 0 {
		return
	}
	seen := make(map[AccountName]location, len(names))
	for i, a := range names {
		at := route.child(accountsList, i)
		if _, ok := accounts[a]; !ok {
			c.addProblem(at, "", "account %q is not in the routes table's accounts", a)
		}
		checkUnique(c, seen, a, at, "")
	}
}

func isSHA256(s string) bool {
	if len(s) != sha256HexLength {
		return false
	}
	for i := range len(s) {
		if (s[i] < '0' || s[i] > '9') && (s[i] < 'a' || s[i] > 'f') {
			return false
		}
	}
	return true
}
