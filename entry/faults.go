package entry

// faults are rules that proofs switch off to show that their checks notice. Programs built without
// the tag "faults" have the zero value, which keeps all rules; see readFaults.
type faults struct {
	// runForeign runs ids that are bound to other entries or to other incarnations.
	runForeign bool
	// forgetIDs runs every copy of an id without asking the register.
	forgetIDs bool
	// skipAnswerWait stops at once instead of waiting until address answers have expired.
	skipAnswerWait bool
	// platformFirst takes the platform's pair at the start without asking peers.
	platformFirst bool
	// ignoreDrain takes no notice of the drain signals of targets.
	ignoreDrain bool
	// passTruncated ends truncated answers as if they were whole.
	passTruncated bool
	// cutOnStop ends all requests in flight at a stop.
	cutOnStop bool
	// alwaysSole lets the entry eject whatever its standing is.
	alwaysSole bool
	// sayNotRun tells callers that requests with an unknown outcome were not run.
	sayNotRun bool
}
