package settings

import (
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// Entry holds the settings of an entry daemon. Durations are in milliseconds, sizes in bytes.
type Entry struct {
	// ID is unique in the fleet. It is also the name in the entry's certificate.
	ID            fleet.EntryID       `json:"id"`
	FailureDomain table.FailureDomain `json:"failureDomain"`
	// CallerAddress, PeerAddress and OperatorAddress are IP addresses with ports: TCP for callers, UDP
	// for other entries, TCP for operators. CallerAddress and OperatorAddress must differ.
	CallerAddress   string `json:"callerAddress"`
	PeerAddress     string `json:"peerAddress"`
	OperatorAddress string `json:"operatorAddress"`
	// PeerListen is the address that the entry listens on for peers, if peers must use another one, for
	// example that of a relay. Empty means PeerAddress.
	PeerListen string `json:"peerListen,omitempty"`
	// Platform is the base URL of the configuration service, such as "http://10.0.0.5:7000".
	Platform string `json:"platform"`
	// DirectoryAddress is where callers look up the addresses of entries, and ReadyAddress where a
	// monitor checks whether the entry is ready, in deployments that separate these from CallerAddress.
	// Empty means none.
	DirectoryAddress string `json:"directoryAddress,omitempty"`
	ReadyAddress     string `json:"readyAddress,omitempty"`
	// Node is the name of the VM in logs. Empty means the ID.
	Node string `json:"node,omitempty"`
	// VM is the capacity of the VM. Entries on large VMs own the cells.
	VM VM `json:"vm,omitzero"`
	// FirstStart says that the whole fleet starts for the first time, and that callers arrive only some
	// seconds later.
	FirstStart bool `json:"firstStart,omitempty"`
	// PoolDefaults apply to pools for which operators publish no policy.
	PoolDefaults PoolDefaults `json:"poolDefaults,omitzero"`
	// SourceGoneMs is the grace period of targets whose registrations expired while the platform was
	// unreachable. Targets that are alive register again within this time.
	SourceGoneMs int64 `json:"sourceGoneMs,omitempty"`
	// Seeds are peers to contact if the fleet list can't be read.
	Seeds []Seed `json:"seeds,omitempty"`
	TLS   TLS    `json:"tls"`
	// LogLevel is debug, info, warn or error. Empty means info.
	LogLevel string `json:"logLevel,omitempty"`
	// LogBytesPerSecond is the rate beyond which log lines are dropped, and counted in a line of their own. The default is
	// 8 MiB; a request takes about 1 KiB.
	LogBytesPerSecond int `json:"logBytesPerSecond,omitempty"`

	// HeartbeatMs is the mean heartbeat interval. The default is 500.
	HeartbeatMs int64 `json:"heartbeatMs,omitempty"`
	// SlowHeartbeatMs is the heartbeat interval of entries that neither own a cell nor are next in line
	// to own one. 0 means HeartbeatMs.
	SlowHeartbeatMs int64 `json:"slowHeartbeatMs,omitempty"`
	// SuspectMs, GoneMs and HandoverMs are SuspectTimeout, GoneTimeout and HandoverDelay of fleet.Timing.
	// The defaults are 2,000, 5,000 and 7,000.
	SuspectMs  int64 `json:"suspectMs,omitempty"`
	GoneMs     int64 `json:"goneMs,omitempty"`
	HandoverMs int64 `json:"handoverMs,omitempty"`
	// JoinWaitMs is the maximum time that a starting entry tries to fetch the active tables from peers. The
	// default is 3,000.
	JoinWaitMs int64 `json:"joinWaitMs,omitempty"`
	// AnswerValidMs is how long callers may use the addresses that a lookup returned. The default is 15,000.
	AnswerValidMs int64 `json:"answerValidMs,omitempty"`
	// StopLimitMs is the time after which a stopping entry aborts the requests in flight. The default is
	// 120,000.
	StopLimitMs int64 `json:"stopLimitMs,omitempty"`
	// KillAfterSeconds is the time after which a stopping process is killed. If it is set, StopLimitMs
	// is set to 0.5 s less, but at least 50 ms.
	KillAfterSeconds float64 `json:"killAfterSeconds,omitempty"`
	// ReadersPerDomain is the number of entries of each failure domain that read the platform in a full mesh.
	// The default is 2.
	ReadersPerDomain int `json:"readersPerDomain,omitempty"`
	// ReaderFreshMs is the maximum age of the platform's last response for an entry to count as a
	// working reader. The default is 10,000.
	ReaderFreshMs int64 `json:"readerFreshMs,omitempty"`
	// MaxHeaderBytes is the maximum size of the header of a caller's request. The default is 64 KiB.
	MaxHeaderBytes int `json:"maxHeaderBytes,omitempty"`
	// ReplayBytes is the maximum size of a request body that is buffered for retries. The default is 64 KiB.
	ReplayBytes int64 `json:"replayBytes,omitempty"`
	// NoticeIDs is the maximum number of request IDs that are remembered, and AnswerBytes the memory for
	// stored responses. The defaults are 200,000 and 16 MiB.
	NoticeIDs   int `json:"noticeIds,omitempty"`
	AnswerBytes int `json:"answerBytes,omitempty"`
	// Contracts names the parts of the platform's rules that are in force, for its adapter.
	Contracts []string `json:"contracts,omitempty"`
	// Quota is how far accounts may exceed their quotas, summed over all entries.
	Quota QuotaTolerance `json:"quota,omitzero"`
}

// QuotaTolerance bounds how many requests of an account may run. In any window of WindowSeconds there may be at most
// (rate * WindowSeconds + burst) * (1 + Excess) + Slack. The defaults are 5 s, 0.25 and 20.
type QuotaTolerance struct {
	WindowSeconds float64 `json:"windowSeconds,omitempty"`
	Excess        float64 `json:"excess,omitempty"`
	Slack         float64 `json:"slack,omitempty"`
}

func (q *QuotaTolerance) check() error {
	if q.WindowSeconds <= 0 || q.Excess < 0 || q.Slack < 0 {
		return errs.New("quota: need a window above 0 s, and an excess and a slack of at least 0")
	}
	return nil
}

// Seed is a peer that is listed in the settings.
type Seed struct {
	ID          fleet.EntryID `json:"id"`
	PeerAddress string        `json:"peerAddress"`
}

// TLS holds the paths of the PEM files for mutual TLS between entries. All are required unless
// Unauthenticated is set.
type TLS struct {
	CA          string `json:"ca,omitempty"`
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	// Unauthenticated makes each process generate its own key, which no CA certifies. Links between
	// entries are encrypted, but only the network prevents other processes from posing as entries.
	Unauthenticated bool `json:"unauthenticated,omitempty"`
}

// PoolDefaults is the policy of pools for which operators publish none. Fields that are 0 have defaults.
type PoolDefaults struct {
	// FloorPercent is the minimum percentage of a pool's targets that are not ejected. The default is
	// 70.
	FloorPercent int `json:"floorPercent,omitempty"`
	// RetryPercent is the maximum number of retries as a percentage of requests. The default is 10.
	RetryPercent float64 `json:"retryPercent,omitempty"`
	// RetryLimit, if it is set, replaces RetryPercent and RetryBurst.
	RetryLimit RetryLimit `json:"retryLimit,omitzero"`
	// FalseEjectionEveryHours is the acceptable mean time between false ejections in a pool. The default
	// is 24.
	FalseEjectionEveryHours float64 `json:"falseEjectionEveryHours,omitempty"`
	// RetryBurst is the number of retries beyond RetryPercent that are allowed in any 10 s. 0 allows
	// bursts of five.
	RetryBurst float64 `json:"retryBurst,omitempty"`
	// SpellMs is the mean length of failure episodes, in which a target fails most requests. 0 means
	// that targets are classified by their failure ratio.
	SpellMs int64 `json:"spellMs,omitempty"`
	// RampMs is the length of the slow start, in which a new target reaches all of its slots. The
	// default is 3,000.
	RampMs int64 `json:"rampMs,omitempty"`
	// MaxBodyBytes is the maximum size of a request body. The default is 64 MiB.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// Scheduling and CostAware are the fields of table.Policy.
	Scheduling table.Scheduling `json:"scheduling,omitempty"`
	CostAware  bool             `json:"costAware,omitempty"`
}

// RetryLimit is the limit that the operators of the targets set for the whole fleet. In any 10 s the
// entries together may make at most Ratio * requests + Slack retries in a pool.
type RetryLimit struct {
	Ratio float64 `json:"ratio,omitempty"`
	Slack float64 `json:"slack,omitempty"`
}

// Fractions of RetryLimit that the fleet uses. The rest is reserved for what the owner of a cell can't
// count: requests that move from a silent connection to a new one, and attempts of an entry that does not know
// yet that the cell has another owner.
const (
	retryRatioFraction = 0.9
	retrySlackFraction = 0.9
)

func (p *PoolDefaults) setDefaults() {
	if p.RetryLimit != (RetryLimit{}) {
		p.RetryPercent = p.RetryLimit.Ratio * retryRatioFraction * 100
		p.RetryBurst = p.RetryLimit.Slack * retrySlackFraction
	}
	setDefault(&p.FloorPercent, 70)
	setDefault(&p.RetryPercent, 10)
	setDefault(&p.FalseEjectionEveryHours, 24)
	setDefault(&p.RampMs, 3_000)
	setDefault(&p.MaxBodyBytes, 64<<20)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (p *PoolDefaults) check() error {
	var g errs.Group
	if p.FloorPercent < 0 || p.FloorPercent > 100 {
		g.Add(errs.New("poolDefaults.floorPercent: %d is not between 0 and 100", p.FloorPercent))
	}
	if p.RetryPercent < 0 || p.RetryPercent > 100 {
		g.Add(errs.New("poolDefaults.retryPercent: %v is not between 0 and 100", p.RetryPercent))
	}
	if p.RetryLimit.Ratio < 0 || p.RetryLimit.Ratio > 1 || p.RetryLimit.Slack < 0 {
		g.Add(errs.New("poolDefaults.retryLimit: need a ratio between 0 and 1 and a slack of at least 0"))
	}
	if p.FalseEjectionEveryHours < 1 {
		g.Add(errs.New("poolDefaults.falseEjectionEveryHours: %v is below 1", p.FalseEjectionEveryHours))
	}
	if p.RampMs < 0 || p.MaxBodyBytes < 0 || p.SpellMs < 0 || p.RetryBurst < 0 {
		g.Add(errs.New("poolDefaults: rampMs, spellMs, retryBurst and maxBodyBytes can't be negative"))
	}
	return g.Err()
}

// logLevels are the valid values of LogLevel.
var logLevels = []string{"debug", "info", "warn", "error"}

// minLogBytesPerSecond leaves room for some lines, also the longest ones.
const minLogBytesPerSecond = 16 << 10

// Bounds of settings, in milliseconds.
const (
	minDurationMs = 50
	// killMarginMs is the time between the stop limit and the kill, in which the last log lines are
	// written.
	killMarginMs  = 500
	maxDurationMs = 24 * 60 * 60 * 1000
)

// SetDefaults sets every optional setting that is zero to its default.
func (e *Entry) SetDefaults() {
	if e.KillAfterSeconds > 0 {
		e.StopLimitMs = max(minDurationMs, int64(e.KillAfterSeconds*1000)-killMarginMs)
	}
	defaults := []struct {
		field *int64
		value int64
	}{
		{&e.HeartbeatMs, 500},
		{&e.SuspectMs, 2_000},
		{&e.GoneMs, 5_000},
		{&e.HandoverMs, 7_000},
		{&e.JoinWaitMs, 3_000},
		{&e.ReaderFreshMs, 10_000},
		{&e.AnswerValidMs, 15_000},
		{&e.StopLimitMs, 120_000},
		{&e.ReplayBytes, 64 << 10},
	}
	for _, d := range defaults {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	sizes := []struct {
		field *int
		value int
	}{
		{&e.ReadersPerDomain, 2},
		{&e.MaxHeaderBytes, 64 << 10},
		{&e.NoticeIDs, 200_000},
		{&e.AnswerBytes, 16 << 20},
		{&e.LogBytesPerSecond, 8 << 20},
	}
	for _, s := range sizes {
		if *s.field == 0 {
			*s.field = s.value
		}
	}
	if e.LogLevel == "" {
		e.LogLevel = "info"
	}
	e.PoolDefaults.setDefaults()
	setDefault(&e.Quota, QuotaTolerance{WindowSeconds: 5, Excess: 0.25, Slack: 20})
	setDefault(&e.SourceGoneMs, 2_000)
	if e.Node == "" {
		e.Node = string(e.ID)
	}
	if e.PeerListen == "" {
		e.PeerListen = e.PeerAddress
	}
}

// Check sets defaults and returns all rules that the settings break as one error.
func (e *Entry) Check() error {
	e.SetDefaults()
	var g errs.Group
	if e.ID == "" {
		g.Add(errs.New("id is empty"))
	}
	if e.FailureDomain == "" {
		g.Add(errs.New("failureDomain is empty"))
	}
	addresses := []struct{ name, value string }{
		{"callerAddress", e.CallerAddress},
		{"peerAddress", e.PeerAddress},
		{"operatorAddress", e.OperatorAddress},
		{"peerListen", e.PeerListen},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			g.Add(errs.New("%s: %v", a.name, err))
		}
	}
	if e.CallerAddress == e.OperatorAddress {
		g.Add(errs.New("operatorAddress equals callerAddress; operators and callers are kept apart"))
	}
	for _, s := range e.Seeds {
		if _, err := netip.ParseAddrPort(s.PeerAddress); err != nil {
			g.Add(errs.New("seeds: %s: %v", s.ID, err))
		}
	}
	optional := []struct{ name, value string }{
		{"directoryAddress", e.DirectoryAddress},
		{"readyAddress", e.ReadyAddress},
	}
	for _, a := range optional {
		if a.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			g.Add(errs.New("%s: %v", a.name, err))
		}
	}
	g.Add(e.TLS.check())
	g.Add(e.PoolDefaults.check())
	g.Add(e.VM.check())
	g.Add(e.Quota.check())
	if !slices.Contains(logLevels, e.LogLevel) {
		g.Add(errs.New("logLevel: %q is not one of %v", e.LogLevel, logLevels))
	}
	if e.LogBytesPerSecond < minLogBytesPerSecond {
		g.Add(errs.New("logBytesPerSecond: %d is below %d", e.LogBytesPerSecond, minLogBytesPerSecond))
	}
	g.Add(e.checkDurations())
	return g.Err()
}

// check reports missing files, and files that are set although Unauthenticated is.
func (t TLS) check() error {
	var g errs.Group
	if t.Unauthenticated {
		if t.CA != "" || t.Certificate != "" || t.Key != "" {
			g.Add(errs.New("tls.unauthenticated: ca, certificate and key must be empty"))
		}
		return g.Err()
	}
	files := []struct{ name, value string }{
		{"tls.ca", t.CA}, {"tls.certificate", t.Certificate}, {"tls.key", t.Key},
	}
	for _, f := range files {
		if f.value == "" {
			g.Add(errs.New("%s is empty", f.name))
		}
	}
	return g.Err()
}

func (e *Entry) checkDurations() error {
	var g errs.Group
	durations := []struct {
		name  string
		value int64
	}{
		{"heartbeatMs", e.HeartbeatMs}, {"suspectMs", e.SuspectMs}, {"goneMs", e.GoneMs},
		{"handoverMs", e.HandoverMs}, {"joinWaitMs", e.JoinWaitMs},
		{"answerValidMs", e.AnswerValidMs}, {"stopLimitMs", e.StopLimitMs},
	}
	for _, d := range durations {
		if d.value < minDurationMs || d.value > maxDurationMs {
			g.Add(errs.New("%s: %d is not between %d and %d", d.name, d.value, minDurationMs, maxDurationMs))
		}
	}
	if e.SuspectMs < 3*e.HeartbeatMs {
		g.Add(errs.New("suspectMs: %d is below 3 times heartbeatMs", e.SuspectMs))
	}
	// A new owner must not become the exclusive owner before the former owner has noticed that the
	// ownership is contested.
	if e.HandoverMs < e.GoneMs+e.HeartbeatMs || e.GoneMs <= e.SuspectMs {
		g.Add(errs.New("need suspectMs < goneMs and goneMs + heartbeatMs <= handoverMs"))
	}
	return g.Err()
}

// Millis converts a setting in milliseconds to a duration.
func Millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
