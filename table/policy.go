package table

// Default values of optional fields of the pools table.
const (
	DefaultCellSize     = 64
	DefaultSlowFactor   = 4.0
	DefaultRetryPercent = 10.0
	DefaultRampMs       = Millis(2_000)
	// defaultQueuePerSlot is the number of queued requests per slot of the pool if queueLimit is not
	// set.
	defaultQueuePerSlot = 4
)

// SetDefaults sets the optional fields that are zero, including those of the policy, to their defaults.
// NewPair calls it for all pools.
func (p *Pool) SetDefaults() {
	if p.CellSize == 0 {
		p.CellSize = DefaultCellSize
	}
	if p.Policy.QueueLimit == 0 {
		p.Policy.QueueLimit = defaultQueuePerSlot * p.Slots * len(p.Targets)
	}
	p.Policy.SetDefaults()
}

// SetDefaults sets the optional fields that are zero to their defaults, except QueueLimit, whose default
// depends on the pool.
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
