package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/table"
)

// newTokenEntry returns an entry whose tables identify accounts by tokens: account "a" by the token "secret".
func newTokenEntry(t *testing.T) *Entry {
	t.Helper()
	is := is.New(t)
	e := newServingEntry(t, 1, "127.0.0.1:1")
	raw, pools := exampleTables(1, "127.0.0.1:1")
	var routes table.Routes
	is.NoErr(json.Unmarshal(raw, &routes))
	routes.Version++
	routes.AccountsByToken = true
	routes.Accounts = []table.AccountRow{{Name: "a", Tokens: []string{table.DigestToken("secret").String()}}}
	e.tables.offer("test", table.Snapshot{Revision: 2, Values: map[string][]byte{
		table.RoutesKey: mustJSON(routes), table.PoolsKey: pools,
	}})
	is.Equal(e.revision(), table.Revision(2))
	return e
}

// Guards against targets that are told the account which a caller of bilberrywood's own protocol named.
func TestAccountOfTokenIsTold(t *testing.T) {
	for _, scheme := range []string{"Bearer secret", "bearer  secret"} {
		is := is.New(t)
		e := newTokenEntry(t)
		x := &exchange{ForwardHeader: peer.ForwardHeader{
			Method: http.MethodPost, Host: "h", URI: "/pool-0000/x",
			Header: http.Header{headerAuthorization: {scheme}, headerAccount: {"other", "third"}, "Connection": {headerAccount}},
		}}
		refused := e.admitRoute(x, e.tables.current(), x.Header)
		is.True(refused == nil)
		is.Equal(x.Account, table.AccountName("a"))
		cell, ok := e.cells.getOrCreate(fleet.CellKey{Pool: "pool-0000"})
		is.True(ok)
		r := e.targetRequest(x, table.Target{}, cell, 0)
		is.Equal(r.Header, http.Header{headerAccount: {"a"}})
	}
}

// Guards against a request with an ID that is refused by the entry that its ID is bound to, because the entry that took it has
// removed the token.
func TestTokenOfBoundRequest(t *testing.T) {
	for _, c := range []struct {
		name, token string
		refused     bool
	}{
		{"token in force", "secret", false},
		{"token taken away", "former", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newTokenEntry(t)
			binding := e.dedup.Binding(e.sinceStart())
			id := notice.ID{Entry: binding.Entry, Incarnation: binding.Incarnation, Epoch: binding.Epoch, Random: "0123456789"}
			digest := table.DigestToken(c.token)
			h := peer.ForwardHeader{
				Mode: peer.ForwardAdmit, To: e.Settings.ID, Hops: 1, RemainingMs: 300, Method: http.MethodPost, Host: "h", URI: "/pool-0000/x",
				Account: "a", TokenDigest: digest[:], Revision: 1, CheckedRevision: 1, Header: http.Header{headerID: {id.String()}, headerAccount: {"a"}},
			}
			w := httptest.NewRecorder()
			e.Forward(t.Context(), h, strings.NewReader(""), newCallerWriter(w, httptest.NewRequest(http.MethodPost, "/", nil)))
			is.Equal(w.Header().Get(headerReason) == string(reasonWrongToken), c.refused)
			is.Equal(w.Code == http.StatusUnauthorized, c.refused)
		})
	}
}
