package quota

// bucket is a token bucket that was empty at some time.
type bucket struct {
	level float64
	at    Time
	// allowed is what the bucket was filled by until at.
	allowed allowance
}

// fill advances the bucket to now. If the allowance has changed, the lower rate holds for the time since the last
// call, and a lower capacity holds at once.
func (b *bucket) fill(now Time, a allowance) {
	if now > b.at {
		b.level += min(a.perSecond, b.allowed.perSecond) * (now - b.at).Seconds()
		b.at = now
	}
	b.level = min(b.level, a.capacity)
	b.allowed = a
}

// take takes up to n whole tokens.
func (b *bucket) take(n int) int {
	taken := max(0, min(n, int(b.level+roundingError)))
	b.level -= float64(taken)
	return taken
}

// roundingError makes up for the rounding of many small additions.
const roundingError = 1e-9

// wait returns how long it takes until a token is there; a long time if the bucket isn't filled.
func (b *bucket) wait() Time {
	if b.level >= 1 {
		return 0
	}
	if b.allowed.perSecond <= 0 || b.allowed.capacity < 1 {
		return maxRetry
	}
	return min(maxRetry, Time((1-b.level)/b.allowed.perSecond*float64(second)))
}
