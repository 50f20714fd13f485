package table

// Defaults of optional fields of the pools table.
const (
	DefaultCellSize     = 64
	DefaultSlowFactor   = 4.0
	DefaultRetryPercent = 10.0
	DefaultRampMs       = Millis(2_000)
	// defaultQueuePerSlot is how many requests wait per slot of the pool when queueLimit is not set.
	defaultQueuePerSlot = 4
)

// SetDefaults fills in the optional fields that are zero, including those of the policy. Pools of a
// Pair have their defaults set.
func (p *Pool) SetDefaults() {
	if p.CellSize == 0 {
		p.CellSize = DefaultCellSize
	}
	if p.Policy.QueueLimit == 0 {
		p.Policy.QueueLimit = defaultQueuePerSlot * p.Slots * len(p.Targets)
	}
	p.Policy.SetDefaults()
}

// SetDefaults fills in the optional fields that are zero, other than QueueLimit, which depends on the
// pool.
func (p *Policy) SetDefaults() {
	if p.SlowFactor == 0 {
		p.SlowFactor = DefaultSlowFactor
	}
	if p.RetryPercent == nil {
		p.RetryPercent = new(float64)
		*p.RetryPercent = DefaultRetryPercent
	}
	if p.RampMs == 0 {
		p.RampMs = DefaultRampMs
	}
}
