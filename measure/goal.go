package measure

// Bounds from the goals in section 9 of docs/design.md.
const (
	goalFailingPeak        = 1.0  // s
	goalFailingDayKruzes   = 2.0  // s
	goalFailingDayKiesbank = 3.0  // s
	goalSlowPeak           = 2.0  // s
	goalSlowDay            = 6.0  // s
	goalPartialPeak        = 10.0 // s
	goalPartialDay         = 30.0 // s
	goalAffected           = 4.0  // requests, at night and for uploads
	goalGoodput            = 0.95 // of the capacity
	goalRetries            = 10.0 // % of requests
	goalPoisonCrashes      = 2.0  // targets
	goalDrain              = 3.0  // s, invariant I5
)

// faultClass groups faults that share a goal.
type faultClass uint8

const (
	classOther faultClass = iota
	classFailing
	classSlow
	classPartial
)

// faultClasses maps scenarios to the class of their goal. The goal for targets that are "failing all
// real work" covers each way of failing.
var faultClasses = map[string]faultClass{
	"failsFast":    classFailing,
	"failsHanging": classFailing,
	"truncates":    classFailing,
	"slow4":        classSlow,
	"fails20":      classPartial,
}

// detectionGoal returns the bound on the detection time in seconds, if the scenario has one.
func detectionGoal(p Profile, l Load, scenario string) (bound float64, ok bool) {
	if p.Upload || l == Night {
		return 0, false
	}
	dayFailing := goalFailingDayKiesbank
	if p.Operator == Kruzes {
		dayFailing = goalFailingDayKruzes
	}
	bounds := map[faultClass]map[Load]float64{
		classFailing: {Peak: goalFailingPeak, Day: dayFailing},
		classSlow:    {Peak: goalSlowPeak, Day: goalSlowDay},
		classPartial: {Peak: goalPartialPeak, Day: goalPartialDay},
	}
	bound, ok = bounds[faultClasses[scenario]][l]
	return bound, ok
}

// affectedGoal returns the bound on affected requests, if the scenario has one.
func affectedGoal(p Profile, l Load, scenario string) (bound float64, ok bool) {
	c := faultClasses[scenario]
	return goalAffected, (p.Upload || l == Night) && (c == classFailing || c == classSlow)
}
