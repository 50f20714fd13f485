package entry

// faults are the rules that tests can break, to show that their checks detect the violation. In programs built
// without the tag "faults" all rules hold; see readFaults.
type faults struct {
	// runForeign runs IDs that are bound to another entry or another incarnation.
	runForeign bool
	// forgetIDs runs every copy of an ID without asking the deduplicator.
	forgetIDs bool
	// skipAnswerWait stops at once instead of waiting until address responses have expired.
	skipAnswerWait bool
	// platformFirst starts with the platform's pair without asking peers.
	platformFirst bool
	// ignoreDrain ignores the drain signals of targets.
	ignoreDrain bool
	// passTruncated passes truncated responses on as if they were complete.
	passTruncated bool
	// cutOnStop aborts all requests in flight when the entry stops.
	cutOnStop bool
	// alwaysSole lets the entry eject targets even without exclusive ownership or right after a pause.
	alwaysSole bool
	// sayNotRun reports requests with an unknown outcome as not run.
	sayNotRun bool
}
