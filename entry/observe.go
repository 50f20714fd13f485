package entry

import (
	"errors"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// counters are the metrics of an entry. Times are in nanoseconds.
type counters struct {
	attempts, forwarded  metrics.Counter
	run, notRun, unknown metrics.Counter
	tick                 metrics.Timer
	// registry also has one counter for each refusal reason.
	registry metrics.Registry
}

func (c *counters) register(r metrics.Registry, e *Entry) {
	c.registry = r
	c.attempts = metrics.NewRegisteredCounter("requests.attempts", r)
	c.forwarded = metrics.NewRegisteredCounter("requests.forwarded", r)
	c.run = metrics.NewRegisteredCounter("outcome.run", r)
	c.notRun = metrics.NewRegisteredCounter("outcome.notRun", r)
	c.unknown = metrics.NewRegisteredCounter("outcome.unknown", r)
	c.tick = metrics.NewRegisteredTimer("tick", r)
	metrics.NewRegisteredFunctionalGauge("requests.inFlight", r, func() int64 { return int64(e.inFlight.count()) })
	metrics.NewRegisteredFunctionalGauge("notice.ids", r, func() int64 { ids, _ := e.dedup.Size(); return int64(ids) })
	metrics.NewRegisteredFunctionalGauge("notice.answerBytes", r, func() int64 { _, b := e.dedup.Size(); return int64(b) })
}

// refused counts a refusal by its reason.
func (c *counters) refused(reason pool.Reason) {
	metrics.GetOrRegisterCounter("refused."+string(reason), c.registry).Inc(1)
}

// revision returns the revision of the active tables, or 0 if there are none.
func (e *Entry) revision() table.Revision {
	if active := e.tables.current(); active != nil {
		return active.pair.Revision
	}
	return 0
}

// logAttempt logs the routing decision of one attempt. outcome is its name in the log; o has the service time and
// what the target announced.
func (e *Entry) logAttempt(x *exchange, d pool.Decision, outcome string, o *pool.Outcome) {
	e.counters.attempts.Inc(1)
	if outcome == outcomeNames[pool.OutcomeSuccess] {
		e.counters.run.Inc(1)
	}
	line := e.Log.Info().
		Str("event", "routingDecision").
		Str("caller", x.caller).
		Str("requestId", x.requestID).
		Str("account", string(x.Account)).
		Str("route", string(x.Route)).
		Str("pool", string(x.pool)).
		Str("target", string(d.Target)).
		Str("reason", string(d.Reason)).
		Float64("doubt", math.Round(d.FailureProbability*1000)/1000).
		Stringer("revision", e.revision()).
		Int("attempt", x.attempts).
		Int64("sinceArrivalMs", time.Since(x.arrivedAt).Milliseconds()).
		Int64("serviceMs", o.ServiceTime.Milliseconds()).
		Str("outcome", outcome)
	if o.RateLimit.Limited {
		line = line.Float64("rateLimit", o.RateLimit.PerSecond)
	}
	if o.RetryAfter > 0 {
		line = line.Int64("retryAfterMs", o.RetryAfter.Milliseconds())
	}
	if o.Abandoned {
		line = line.Bool("abandoned", true)
	}
	if o.Draining {
		line = line.Bool("leaving", true)
	}
	if d.Attempt > 1 {
		line = line.Float64("retriesLeft", math.Round(d.RetriesLeft*10)/10).Int64("retryWaitMs", d.RetryWait.Milliseconds())
	}
	if d.ExpectedCost > 0 {
		line = line.Int64("expectedMs", d.ExpectedCost.Milliseconds()).Int64("targetWorkMs", d.TargetWork.Milliseconds())
	}
	if x.id != nil {
		line = line.Stringer("id", *x.id)
	}
	line.Send()
}

// logRateLimitIgnored logs that a target named a rate limit that could not be read.
func (e *Entry) logRateLimitIgnored(target table.TargetID, err error) {
	e.Log.Warn().Str("event", "rateLimitIgnored").Str("target", string(target)).
		Str("error", loggedText(err.Error(), maxLoggedDetail)).
		Msg("rate limit of a target could not be read; the one named before stays")
}

// logForward logs the routing decision for a request that was forwarded to a peer.
func (e *Entry) logForward(x *exchange, to fleet.Member, outcome string) {
	e.counters.forwarded.Inc(1)
	e.Log.Info().
		Str("event", "routingDecision").
		Str("caller", x.caller).
		Str("requestId", x.requestID).
		Str("account", string(x.Account)).
		Str("route", string(x.Route)).
		Str("pool", string(x.Cell.Pool)).
		Str("forwardedTo", string(to.ID)).
		Str("ownerState", stateNames[to.State]).
		Str("via", string(to.Relay)).
		Str("viaState", e.stateOf(to.Relay)).
		Stringer("revision", e.revision()).
		Int("attempt", x.attempts).
		Int64("sinceArrivalMs", time.Since(x.arrivedAt).Milliseconds()).
		Str("outcome", loggedText(outcome, maxLoggedDetail)).
		Send()
}

// stateOf returns the name of an entry's state as this entry knows it, "" if it does not know the entry.
func (e *Entry) stateOf(id fleet.EntryID) string {
	m, ok := e.fleet.view().Member(id)
	if !ok {
		return ""
	}
	return stateNames[m.State]
}

// refuse counts and logs a refusal. aborted means that a response has started and is aborted instead.
func (e *Entry) refuse(x *exchange, refused *refusal, aborted bool) {
	if e.faults.sayNotRun {
		refused.outcome = notice.OutcomeNotRun
	}
	if refused.outcome == notice.OutcomeNotRun {
		e.counters.notRun.Inc(1)
	} else {
		e.counters.unknown.Inc(1)
	}
	e.counters.refused(refused.reason)
	line := e.Log.Info().
		Str("event", "routingDecision").
		Str("caller", x.caller).
		Str("requestId", x.requestID).
		Str("account", string(x.Account)).
		Str("route", string(x.Route)).
		Str("reason", string(refused.reason)).
		Str("detail", loggedText(refused.detail, maxLoggedDetail)).
		Stringer("revision", e.revision()).
		Int("attempt", x.attempts).
		Int64("sinceArrivalMs", time.Since(x.arrivedAt).Milliseconds()).
		Str("outcome", refused.outcome).
		Bool("cut", aborted)
	if q := refused.queue; q != (pool.QueueState{}) {
		line = line.Int("queueLength", q.Length).Int64("waitEstimateMs", q.WaitEstimate.Milliseconds())
		if x.route != nil && x.route.ObjectiveMs > 0 {
			line = line.Int64("objectiveMs", x.route.ObjectiveMs.Duration().Milliseconds())
		}
		if l := q.Level; l != nil {
			line = line.Int("priority", l.Priority).Int("routePriority", l.RoutePriority).Int("levelLength", l.Waiting).
				Int64("levelSlotMs", l.WaitingSlotTime.Milliseconds()).Int64("accountSlotMs", l.AccountSlotTime.Milliseconds()).
				Float64("levelAsked", roundSlots(l.AskedSlots)).Float64("levelGranted", roundSlots(l.GrantedSlots))
		}
	}
	if refused.retryAfter > 0 {
		line = line.Int64("retryAfterMs", refused.retryAfter.Milliseconds())
	}
	if x.id != nil {
		line = line.Stringer("id", *x.id)
	}
	line.Send()
}

// roundSlots rounds a number of slots to one digit after the point.
func roundSlots(slots float64) float64 { return math.Round(slots*10) / 10 }

// routeStatus has the HTTP status and the reason for each refusal of the router.
var routeStatus = map[table.RefusalReason]struct {
	status int
	reason pool.Reason
}{
	table.RefusedPath:      {http.StatusBadRequest, reasonBadRequest},
	table.RefusedNoRoute:   {http.StatusNotFound, "noRoute"},
	table.RefusedMethod:    {http.StatusMethodNotAllowed, "methodNotAllowed"},
	table.RefusedNoAccount: {http.StatusUnauthorized, "accountRequired"},
	table.RefusedToken:     {http.StatusUnauthorized, reasonWrongToken},
	table.RefusedAccount:   {http.StatusForbidden, "accountNotAllowed"},
}

func routeRefusal(err error) *refusal {
	var r *table.Refusal
	if !errors.As(err, &r) {
		return notRunRefusal(http.StatusBadRequest, reasonBadRequest, err.Error())
	}
	s := routeStatus[r.Reason]
	return notRunRefusal(s.status, s.reason, r.Error())
}

// stripQuery returns a request target without its query.
func stripQuery(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}
