package pool

// RateLimit is what a response says about the rate at which its target accepts requests.
type RateLimit struct {
	// Known says that there was a response and that the limit in it, if any, could be read.
	Known bool
	// Limited says that the response names a limit: PerSecond requests per second from all entries together, for as
	// long as the target's responses name it.
	Limited   bool
	PerSecond float64
}
