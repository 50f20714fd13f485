package pool

import (
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// Report is the state of a cell for operators.
type Report struct {
	Key       fleet.CellKey   `json:"key"`
	Ownership fleet.Ownership `json:"standing"`
	// DetectionSuspended says that no target is avoided or ejected at present, because a fault of the observer
	// or a common cause is suspected.
	DetectionSuspended bool `json:"doubtful"`
	Floor              int  `json:"floor"`
	Queued             int  `json:"queued"`
	InFlight           int  `json:"inFlight"`
	// MeanServiceTime is the mean time that an attempt occupies its slot; 0 means not known.
	MeanServiceTime time.Duration `json:"meanServiceNs"`
	// ResponsesPerSecond is the rate of responses and failures, averaged over about a minute.
	ResponsesPerSecond float64 `json:"rate"`
	// BaselineFailureRatio is the failure ratio that targets are compared with.
	BaselineFailureRatio float64 `json:"baseRatio"`
	// RetryTokens is the content of the token bucket, in retries, with those that are decided and have not started.
	RetryTokens float64 `json:"retryTokens"`
	// Fingerprints is the number of fingerprints of suspected and refused requests.
	Fingerprints int `json:"fingerprints"`
	// Levels are the levels of a cell that serves by priority, the most urgent first.
	Levels  []LevelState   `json:"levels,omitempty"`
	Targets []TargetReport `json:"targets"`
}

// TargetReport is the state of a target for operators.
type TargetReport struct {
	ID     table.TargetID `json:"id"`
	State  TargetState    `json:"state"`
	Reason Reason         `json:"reason"`
	Since  Time           `json:"since"`
	// EjectionBlockedBy says why a target with enough evidence is not ejected.
	EjectionBlockedBy Reason `json:"blocked,omitempty"`
	InFlight          int    `json:"inFlight"`
	// Limit is how many requests the target may run now.
	Limit int `json:"limit"`
	// Evidence is the largest sum of log-likelihood ratios. The target is avoided at AvoidThreshold and ejected
	// at EjectThreshold.
	Evidence       float64 `json:"evidence"`
	AvoidThreshold float64 `json:"avoid"`
	EjectThreshold float64 `json:"threshold"`
	Samples        int     `json:"samples"`
	// FailureRatio is the smoothed fraction of failures.
	FailureRatio float64 `json:"failureRatio"`
	// NextTrial is when the next trial of a target out of service is due; 0 if it is serving or leaving.
	NextTrial Time `json:"nextTrial,omitempty"`
	// Flaps is the number of recent returns from ejection.
	Flaps int `json:"flaps"`
	// ShedUntil is the end of the pause after a shed; 0 if there is none.
	ShedUntil Time `json:"shedUntil,omitempty"`
	Ramping   bool `json:"ramping,omitempty"`
	// RateLimited says that the target names a rate limit of RateLimit requests per second.
	RateLimited bool    `json:"rateLimited,omitempty"`
	RateLimit   float64 `json:"rateLimit,omitempty"`
	// Slowness is the factor by which requests take longer than at the median target, and Work the expected time until
	// the target has done what it has. Both are 0 in pools that don't choose targets by cost.
	Slowness float64       `json:"slowness,omitempty"`
	Work     time.Duration `json:"workNs,omitempty"`
}

// Report returns the cell's current state, with targets in the order of their IDs. Whether detection is suspended
// and targets shed is as of the last tick.
func (c *Cell) Report() Report {
	report := Report{
		Key: c.Key, Ownership: c.ownership, DetectionSuspended: c.detectionSuspended(c.lastTick), Floor: c.Floor,
		Queued: c.queue.size() + len(c.delayed), MeanServiceTime: c.queue.meanServiceTime,
		ResponsesPerSecond:   c.stats.sampleRate,
		BaselineFailureRatio: c.stats.baselineRatio, RetryTokens: c.budget.tokens, Fingerprints: c.poison.rows.len(),
	}
	for _, l := range c.queue.levels {
		report.Levels = append(report.Levels, l.state(c.lastCall))
	}
	for i := range c.targets.len() {
		t := c.targets.at(i)
		report.InFlight += t.inFlight
		report.Targets = append(report.Targets, c.reportTarget(t))
	}
	slices.SortFunc(report.Targets, func(a, b TargetReport) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return report
}

func (c *Cell) reportTarget(t *target) TargetReport {
	sum, _, samples := t.evidence.strongest()
	threshold := c.ejectThreshold(t)
	report := TargetReport{
		ID: t.id, State: t.state, Reason: t.reason, Since: t.since, EjectionBlockedBy: t.ejectionBlockedBy,
		InFlight: t.inFlight, Limit: t.limit, Evidence: sum,
		AvoidThreshold: c.avoidThreshold(threshold), EjectThreshold: threshold,
		Samples: samples, FailureRatio: t.evidence.failureRatio, Flaps: t.trial.flaps, Ramping: t.ramping,
		RateLimited: t.rate.limited, RateLimit: t.rate.perSecond,
	}
	if t.state != TargetServing && t.state != TargetLeaving {
		report.NextTrial = t.trial.due
	}
	if c.Policy.CostAware {
		report.Slowness, report.Work = t.work.speed.Slowness(), t.outstanding()
	}
	if t.shedUntil > c.lastTick {
		report.ShedUntil = t.shedUntil
	}
	return report
}

// EjectedTargets returns the ejected targets, or the suspect ones where failure episodes are tracked, for the
// next owner of the cell.
func (c *Cell) EjectedTargets() []table.TargetID {
	if c.tracksEpisodes() {
		return c.suspectTargets(c.lastTick)
	}
	var ids []table.TargetID
	for i := range c.targets.len() {
		if t := c.targets.at(i); t.state == TargetEjected {
			ids = append(ids, t.id)
		}
	}
	return ids
}
