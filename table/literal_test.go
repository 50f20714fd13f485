package table

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// literalRouter returns a router that compares paths literally, for the prefixes on one host. The name of each route is its
// prefix.
func literalRouter(t *testing.T, prefixes ...string) *Router {
	t.Helper()
	pair := &Pair{Routes: &Routes{}, Pools: &Pools{Pools: []Pool{{Name: "p"}}}, Paths: MatchLiteral}
	for _, p := range prefixes {
		pair.Routes.Routes = append(pair.Routes.Routes, Route{Name: RouteName(p), Host: "gateway.example", PathPrefix: p, Pool: "p"})
	}
	return NewRouter(pair)
}

// Guards against a path without the last slash of a prefix that gets the route of that prefix, with its kind and pool.
func TestLiteralPrefixes(t *testing.T) {
	router := literalRouter(t, "/ledger", "/ledger/notices", "/files/a/b/c")
	for path, want := range map[string]RouteName{
		"/ledger/":                "/ledger",
		"/ledger/correction":      "/ledger",
		"/ledger/notices":         "/ledger",
		"/ledger/notices/":        "/ledger/notices",
		"/ledger/notices/4711":    "/ledger/notices",
		"/ledger/notices/4711/a/": "/ledger/notices",
		"/ledger//notices/4711":   "/ledger",
		"/ledger/noticesx/1":      "/ledger",
		"/files/a/b/c/d/e/f":      "/files/a/b/c",
		"/ledger":                 "",
		"/files/a/b/c":            "",
		"/ledgerx/1":              "",
		"/":                       "",
	} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			m, err := router.Route("POST", "Gateway.example:8443", path, "", "")
			var refusal *Refusal
			if want == "" {
				is.True(errors.As(err, &refusal))
				is.Equal(refusal.Reason, RefusedNoRoute)
				return
			}
			is.NoErr(err)
			is.Equal(m.Route.Name, want)
		})
	}
}
