package table

import "github.com/tailscale/hujson"

// text, number, decimal and flag build the schema's fields from a function that returns the address of
// the field in its row.

func text[T any, S ~string](name string, required bool, at func(*T) *S) field[T] {
	return field[T]{
		name: name, required: required,
		set: func(d *decoder, v *hujson.Value, row *T) { decodeString(d, v, at(row)) },
		get: func(row *T) any { return *at(row) },
	}
}

func number[T any, I ~int | ~int64](name string, required bool, at func(*T) *I) field[T] {
	return field[T]{
		name: name, required: required,
		set: func(d *decoder, v *hujson.Value, row *T) { decodeInt(d, v, at(row)) },
		get: func(row *T) any { return *at(row) },
	}
}

func decimal[T any](name string, required bool, at func(*T) *float64) field[T] {
	return field[T]{
		name: name, required: required,
		set: func(d *decoder, v *hujson.Value, row *T) { decodeFloat(d, v, at(row)) },
		get: func(row *T) any { return *at(row) },
	}
}

func flag[T any](name string, at func(*T) *bool) field[T] {
	return field[T]{
		name: name,
		set:  func(d *decoder, v *hujson.Value, row *T) { decodeBool(d, v, at(row)) },
		get:  func(row *T) any { return *at(row) },
	}
}

// rows builds a field that holds an array of rows, decoded by decode one at a time. Diff compares such
// rows by name.
func rows[T, E any](name string, required bool, at func(*T) *[]E, decode func(*decoder, *hujson.Value, *E)) field[T] {
	return field[T]{
		name: name, required: required,
		set: func(d *decoder, v *hujson.Value, row *T) { *at(row) = decodeRows(d, v, decode) },
	}
}

// list builds an optional field that holds an array of strings.
func list[T any, S ~string](name string, at func(*T) *[]S) field[T] {
	f := rows(name, false, at, decodeShared[S])
	f.get = func(row *T) any { return *at(row) }
	return f
}

// The schemas of the tables: the only place that names their fields, for decoding and for Diff.
var (
	routesSchema = []field[Routes]{
		number("version", false, func(t *Routes) *int64 { return &t.Version }),
		{
			name: "limits",
			set:  func(d *decoder, v *hujson.Value, t *Routes) { decodeObject(d, v, limitsSchema, &t.Limits) },
			get:  func(t *Routes) any { return t.Limits },
		},
		rows("routes", true, func(t *Routes) *[]Route { return &t.Routes }, decodeRoute),
		rows("accounts", false, func(t *Routes) *[]AccountRow { return &t.Accounts }, decodeAccount),
	}
	routeSchema = []field[Route]{
		text("name", true, func(r *Route) *RouteName { return &r.Name }),
		text("host", false, func(r *Route) *string { return &r.Host }),
		text("pathPrefix", true, func(r *Route) *string { return &r.PathPrefix }),
		list("methods", func(r *Route) *[]string { return &r.Methods }),
		text("pool", false, func(r *Route) *PoolName { return &r.Pool }),
		splitField,
		flag("idempotent", func(r *Route) *bool { return &r.Idempotent }),
		flag("nonIdempotent", func(r *Route) *bool { return &r.NonIdempotent }),
		flag("upload", func(r *Route) *bool { return &r.Upload }),
		number("maxAttempts", false, func(r *Route) *int { return &r.MaxAttempts }),
		number("priority", false, func(r *Route) *int { return &r.Priority }),
		number("objectiveMs", false, func(r *Route) *Millis { return &r.ObjectiveMs }),
		list("accounts", func(r *Route) *[]AccountName { return &r.Accounts }),
		number("timeoutMs", true, func(r *Route) *Millis { return &r.TimeoutMs }),
		number("maxBodyBytes", true, func(r *Route) *int64 { return &r.MaxBodyBytes }),
	}
	limitsSchema = []field[CallerLimits]{
		number("maxHeaderBytes", false, func(l *CallerLimits) *int { return &l.MaxHeaderBytes }),
		number("headerTimeoutMs", false, func(l *CallerLimits) *Millis { return &l.HeaderTimeoutMs }),
		number("idleTimeoutMs", false, func(l *CallerLimits) *Millis { return &l.IdleTimeoutMs }),
	}
	shareSchema = []field[WeightedPool]{
		text("pool", true, func(s *WeightedPool) *PoolName { return &s.Pool }),
		number("weight", true, func(s *WeightedPool) *int { return &s.Weight }),
	}
	accountSchema = []field[AccountRow]{
		text("name", true, func(a *AccountRow) *AccountName { return &a.Name }),
		{
			name: "tokenSha256", required: true,
			set: func(d *decoder, v *hujson.Value, a *AccountRow) { decodePart(d, v, &a.TokenSHA256) },
			get: func(a *AccountRow) any { return digest(a.TokenSHA256) },
		},
	}
	poolsSchema = []field[Pools]{
		number("fleetGroups", true, func(t *Pools) *int { return &t.FleetGroups }),
		rows("pools", true, func(t *Pools) *[]Pool { return &t.Pools }, decodePool),
	}
	poolSchema = []field[Pool]{
		text("name", true, func(p *Pool) *PoolName { return &p.Name }),
		number("floor", true, func(p *Pool) *int { return &p.Floor }),
		number("slots", true, func(p *Pool) *int { return &p.Slots }),
		number("maxConnections", true, func(p *Pool) *int { return &p.MaxConnections }),
		number("cellSize", false, func(p *Pool) *int { return &p.CellSize }),
		list("cellDomains", func(p *Pool) *[]FailureDomain { return &p.CellDomains }),
		text("probePath", false, func(p *Pool) *string { return &p.ProbePath }),
		text("loadPath", false, func(p *Pool) *string { return &p.LoadPath }),
		{
			name: "policy", required: true,
			set: func(d *decoder, v *hujson.Value, p *Pool) { decodeObject(d, v, policySchema, &p.Policy) },
		},
		rows("targets", true, func(p *Pool) *[]Target { return &p.Targets }, decodeTarget),
	}
	policySchema = []field[Policy]{
		decimal("falseEjectionEveryHours", true, func(p *Policy) *float64 { return &p.FalseEjectionEveryHours }),
		decimal("slowFactor", false, func(p *Policy) *float64 { return &p.SlowFactor }),
		number("queueLimit", false, func(p *Policy) *int { return &p.QueueLimit }),
		{
			name: "retryPercent",
			set: func(d *decoder, v *hujson.Value, p *Policy) {
				p.RetryPercent = new(float64)
				decodeFloat(d, v, p.RetryPercent)
			},
			get: func(p *Policy) any { return *p.RetryPercent },
		},
		number("spellMs", false, func(p *Policy) *Millis { return &p.SpellMs }),
		number("retryBurst", false, func(p *Policy) *int { return &p.RetryBurst }),
		number("rampMs", false, func(p *Policy) *Millis { return &p.RampMs }),
	}
	targetSchema = []field[Target]{
		text("id", true, func(t *Target) *TargetID { return &t.ID }),
		text("address", true, func(t *Target) *string { return &t.Address }),
		{
			name: "failureDomain", required: true,
			set: func(d *decoder, v *hujson.Value, t *Target) { decodeShared(d, v, &t.FailureDomain) },
			get: func(t *Target) any { return t.FailureDomain },
		},
		flag("leaving", func(t *Target) *bool { return &t.Leaving }),
		number("slots", false, func(t *Target) *int { return &t.Slots }),
		number("started", false, func(t *Target) *int64 { return &t.Started }),
	}
)

// splitField decodes the shares of a route; Diff compares them as a whole.
var splitField = func() field[Route] {
	f := rows("split", false, func(r *Route) *[]WeightedPool { return &r.Split }, decodeShare)
	f.get = func(r *Route) any { return r.Split }
	return f
}()

func decodeShare(d *decoder, v *hujson.Value, s *WeightedPool) { decodeObject(d, v, shareSchema, s) }

func decodeRoute(d *decoder, v *hujson.Value, r *Route) { decodeObject(d, v, routeSchema, r) }

func decodeAccount(d *decoder, v *hujson.Value, a *AccountRow) { decodeObject(d, v, accountSchema, a) }

func decodePool(d *decoder, v *hujson.Value, p *Pool) { decodeObject(d, v, poolSchema, p) }

func decodeTarget(d *decoder, v *hujson.Value, t *Target) { decodeObject(d, v, targetSchema, t) }

// digest is the digest of a secret. It is printed shortened, so that reports can show that it changed.
type digest string

// String returns the first 8 digits.
func (d digest) String() string { return string(d[:min(8, len(d))]) + "..." }
