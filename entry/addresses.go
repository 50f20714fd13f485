package entry

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// maxBackups is the maximum number of entries besides the owner that an address response or an explanation names.
const maxBackups = 2

// Address is an entry that a caller may connect to.
type Address struct {
	notice.Binding
	// Address is the IP address and port for HTTP.
	Address string `json:"address"`
}

// AddressResponse tells a caller which entries to use for a route.
type AddressResponse struct {
	Route table.RouteName `json:"route"`
	// Entries has the owner first, then the entries that take over if it fails.
	Entries []Address `json:"entries"`
	// ValidForMs is how long the response may be used, in milliseconds. An entry that leaves stays reachable
	// for that long.
	ValidForMs int64          `json:"validForMs"`
	Revision   table.Revision `json:"revision"`
}

// addresses handles GET /v1/addresses?route=NAME.
func (e *Entry) addresses(c echo.Context) error {
	active := e.tables.current()
	if active == nil {
		return e.refuseCall(c, notRunRefusal(http.StatusServiceUnavailable, reasonNoTables, "no tables are in force yet"))
	}
	name := table.RouteName(c.QueryParam("route"))
	route := active.routes[name]
	if route == nil {
		return e.refuseCall(c, notRunRefusal(http.StatusNotFound, pool.Reason("noRoute"), "no route is named "+string(name)))
	}
	response := AddressResponse{Route: name, ValidForMs: e.Settings.AnswerValidMs, Revision: active.pair.Revision}
	view := e.fleet.view()
	key := e.pickCell(active, route.Pool)
	if owner, ok := view.Owner(key); ok {
		response.Entries = append(response.Entries, e.address(owner))
	}
	for _, m := range view.Backups(key, maxBackups) {
		response.Entries = append(response.Entries, e.address(m))
	}
	if len(response.Entries) == 0 {
		return e.refuseCall(c, notRunRefusal(http.StatusServiceUnavailable, reasonOwnerUnreachable, "no entry serves this route"))
	}
	e.addressClock.record(e.sinceStart())
	return c.JSON(http.StatusOK, response)
}

// address returns what a caller needs to use an entry.
func (e *Entry) address(m fleet.Member) Address {
	a := Address{Address: m.CallerAddress}
	if m.ID == e.Settings.ID {
		a.Binding = e.dedup.Binding(e.sinceStart())
		return a
	}
	a.Binding = notice.Binding{Entry: m.ID, Incarnation: m.Incarnation, Epoch: notice.Epoch(m.Epoch)}
	return a
}

// refuseCall responds to a call of the entry's own API with a refusal.
func (e *Entry) refuseCall(c echo.Context, refused *refusal) error {
	return refused.write(string(e.Settings.ID), newCallerWriter(c.Response(), c.Request()))
}
