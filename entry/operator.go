package entry

import (
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"

	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// Status is the response to GET /v1/status on the operators' endpoint.
type Status struct {
	Entry         fleet.EntryID       `json:"entry"`
	Incarnation   fleet.Incarnation   `json:"incarnation"`
	FailureDomain table.FailureDomain `json:"failureDomain"`
	State         string              `json:"state"`
	// Revision, Digest and InForceSince describe the active pair; Revision is 0 if there is none.
	Revision table.Revision `json:"revision"`
	// Digest is a decimal string in JSON, because many JSON readers keep only 53 bits of a number.
	Digest       uint64    `json:"digest,string"`
	InForceSince time.Time `json:"inForceSince"`
	// Rejections are the most recent pairs that were not accepted, with their problems.
	Rejections     []table.Rejection    `json:"rejections"`
	Platform       configuration.Status `json:"platform"`
	RecentlyPaused bool                 `json:"selfDoubt"`
	// Reader is true if this entry reads the platform and got a response within Settings.ReaderFreshMs, 10 s by
	// default.
	Reader bool `json:"reader"`
	// Started is when the process started. The times in the reports of cells are relative to it.
	Started   time.Time `json:"started"`
	UpSeconds float64   `json:"upSeconds"`
}

// CellStatus is one element of the response to GET /v1/cells.
type CellStatus struct {
	Cell      fleet.CellKey `json:"cell"`
	Ownership string        `json:"standing"`
	Report    pool.Report   `json:"report"`
}

// Explanation is the response to GET /v1/explain.
type Explanation struct {
	Route    table.RouteName `json:"route,omitempty"`
	Pool     table.PoolName  `json:"pool,omitempty"`
	Cells    []CellOwner     `json:"cells,omitempty"`
	Refused  string          `json:"refused,omitempty"`
	Revision table.Revision  `json:"revision"`
}

// CellOwner names the entry that places the requests of a cell, in the view of the queried entry.
type CellOwner struct {
	Cell    fleet.CellKey   `json:"cell"`
	Owner   fleet.EntryID   `json:"owner"`
	Backups []fleet.EntryID `json:"backups"`
}

var ownershipNames = map[fleet.Ownership]string{
	fleet.NotOwner: "notOwner", fleet.ContestedOwner: "contested", fleet.ExclusiveOwner: "sole",
}

// operatorRoutes returns the HTTP handler for operators. All responses are JSON.
func (e *Entry) operatorRoutes() http.Handler {
	r := echo.New()
	r.HideBanner, r.HidePort = true, true
	r.GET("/v1/status", func(c echo.Context) error { return c.JSON(http.StatusOK, e.status()) })
	r.GET("/v1/members", func(c echo.Context) error { return c.JSON(http.StatusOK, e.fleet.view().Members) })
	r.GET("/v1/cells", func(c echo.Context) error { return c.JSON(http.StatusOK, e.cells.status()) })
	r.GET("/v1/tables/:table", e.activeTable)
	r.GET("/v1/explain", e.explain)
	r.GET("/v1/quota", e.quotaStatus)
	r.GET("/v1/log", e.followLog)
	r.GET("/debug/pprof/", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	r.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	r.GET("/debug/pprof/:profile", func(c echo.Context) error {
		pprof.Handler(c.Param("profile")).ServeHTTP(c.Response(), c.Request())
		return nil
	})
	r.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
		metrics.WriteJSONOnce(e.Metrics, c.Response())
		return nil
	})
	return r
}

func (e *Entry) status() Status {
	s := Status{
		Entry: e.Settings.ID, Incarnation: e.dedup.Incarnation, FailureDomain: e.Settings.FailureDomain,
		State:      stateNames[fleet.State(e.state.Load())],
		Rejections: e.tables.acceptor.Rejections(), Platform: e.source.Status(),
		RecentlyPaused: e.fleet.view().RecentlyPaused, Reader: e.recentlyReadPlatform(), Started: e.startTime, UpSeconds: time.Since(e.startTime).Seconds(),
	}
	if active := e.tables.current(); active != nil {
		s.Revision, s.Digest, s.InForceSince = active.pair.Revision, active.pair.Digest, active.activeSince
	}
	return s
}

// status returns the reports of all cells that this entry serves.
func (s *cellSet) status() []CellStatus {
	cells := s.list()
	out := make([]CellStatus, 0, len(cells))
	for _, c := range cells {
		c.withCell(func(_ pool.Time, cell *pool.Cell) {
			out = append(out, CellStatus{Cell: c.key, Ownership: ownershipNames[c.ownership], Report: cell.Report()})
		})
	}
	return out
}

// activeTable handles GET /v1/tables/routes and /v1/tables/pools. It returns the raw table.
func (e *Entry) activeTable(c echo.Context) error {
	active := e.tables.current()
	if active == nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "no tables are in force yet")
	}
	raw, ok := active.pair.Values[table.KeyPrefix+c.Param("table")]
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "the tables are routes and pools")
	}
	return c.Blob(http.StatusOK, "application/json", raw)
}

// explain handles GET /v1/explain?method=M&host=H&path=P&account=A&token=T. It returns how such a request would
// be routed here, without running it.
func (e *Entry) explain(c echo.Context) error {
	active := e.tables.current()
	if active == nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "no tables are in force yet")
	}
	method := c.QueryParam("method")
	if method == "" {
		method = http.MethodGet
	}
	x := Explanation{Revision: active.pair.Revision}
	m, err := active.router.Route(method, c.QueryParam("host"), c.QueryParam("path"), table.AccountName(c.QueryParam("account")), c.QueryParam("token"))
	if err != nil {
		x.Refused = err.Error()
		return c.JSON(http.StatusOK, x)
	}
	x.Route, x.Pool = m.Route.Name, m.Route.Pool
	for _, s := range m.Route.WeightedPools() {
		x.Cells = append(x.Cells, e.cellOwners(active.router.Pool(s.Pool))...)
	}
	return c.JSON(http.StatusOK, x)
}

// cellOwners returns the owners of a pool's cells in this entry's view.
func (e *Entry) cellOwners(p *table.Pool) []CellOwner {
	v := e.fleet.view()
	var owners []CellOwner
	for index := range table.CellCount(p) {
		o := CellOwner{Cell: fleet.CellKey{Pool: p.Name, Index: index}}
		if owner, ok := v.Owner(o.Cell); ok {
			o.Owner = owner.ID
		}
		for _, b := range v.Backups(o.Cell, maxBackups) {
			o.Backups = append(o.Backups, b.ID)
		}
		owners = append(owners, o)
	}
	return owners
}

// followLog handles GET /v1/log. It returns the recent lines and, with follow=1, streams new ones.
func (e *Entry) followLog(c echo.Context) error {
	if e.LogLines == nil {
		return echo.NewHTTPError(http.StatusNotFound, "this process keeps no log lines")
	}
	w := c.Response()
	w.Header().Set(echo.HeaderContentType, "application/x-ndjson")
	last, lines, stop := e.LogLines.Follow()
	defer stop()
	for _, line := range last {
		if _, err := w.Write(line); err != nil {
			return Error.Wrap(err)
		}
	}
	if c.QueryParam("follow") == "" {
		return nil
	}
	w.Flush()
	for {
		select {
		case line := <-lines:
			if _, err := w.Write(line); err != nil {
				return Error.Wrap(err)
			}
			w.Flush()
		case <-c.Request().Context().Done():
			return nil
		}
	}
}
