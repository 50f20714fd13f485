package table

import "github.com/tailscale/hujson"

// stringField, intField, floatField and boolField return a field of the schema. ptr returns the address
// of the field in its row.

func stringField[T any, S ~string](name string, required bool, ptr func(*T) *S) field[T] {
	return field[T]{
		name: name, required: required,
		set: func(d *decoder, v *hujson.Value, row *T) { decodeString(d, v, ptr(row)) },
		get: func(row *T) any { return *ptr(row) },
	}
}

func intField[T any, I ~int | ~int64](name string, required bool, ptr func(*T) *I) field[T] {
	return field[T]{
		name: name, required: required,
		set: func(d *decoder, v *hujson.Value, row *T) { decodeInt(d, v, ptr(row)) },
		get: func(row *T) any { return *ptr(row) },
	}
}

func floatField[T any](name string, required bool, ptr func(*T) *float64) field[T] {
	return field[T]{
		name: name, required: required,
		set: func(d *decoder, v *hujson.Value, row *T) { decodeFloat(d, v, ptr(row)) },
		get: func(row *T) any { return *ptr(row) },
	}
}

func boolField[T any](name string, ptr func(*T) *bool) field[T] {
	return field[T]{
		name: name,
		set:  func(d *decoder, v *hujson.Value, row *T) { decodeBool(d, v, ptr(row)) },
		get:  func(row *T) any { return *ptr(row) },
	}
}

// rowsField returns a field that holds an array of rows, each of which is decoded by decode. Diff
// compares such rows by name.
func rowsField[T, E any](name string, required bool, ptr func(*T) *[]E, decode func(*decoder, *hujson.Value, *E)) field[T] {
	return field[T]{
		name: name, required: required,
		set: func(d *decoder, v *hujson.Value, row *T) { *ptr(row) = decodeRows(d, v, decode) },
	}
}

// stringsField returns an optional field that holds an array of strings.
func stringsField[T any, S ~string](name string, ptr func(*T) *[]S) field[T] {
	f := rowsField(name, false, ptr, decodeInterned[S])
	f.get = func(row *T) any { return *ptr(row) }
	return f
}

// Schemas of the tables, for decoding and for Diff. No other code names the tables' fields in JSON.
var (
	routesSchema = []field[Routes]{
		intField("version", false, func(t *Routes) *int64 { return &t.Version }),
		{
			name: "limits",
			set:  func(d *decoder, v *hujson.Value, t *Routes) { decodeObject(d, v, limitsSchema, &t.Limits) },
			get:  func(t *Routes) any { return t.Limits },
		},
		rowsField("routes", true, func(t *Routes) *[]Route { return &t.Routes }, decodeRoute),
		rowsField("accounts", false, func(t *Routes) *[]AccountRow { return &t.Accounts }, decodeAccount),
		boolField("accountsByToken", func(t *Routes) *bool { return &t.AccountsByToken }),
	}
	routeSchema = []field[Route]{
		stringField("name", true, func(r *Route) *RouteName { return &r.Name }),
		stringField("host", false, func(r *Route) *string { return &r.Host }),
		stringField("pathPrefix", true, func(r *Route) *string { return &r.PathPrefix }),
		stringsField("methods", func(r *Route) *[]string { return &r.Methods }),
		stringField("pool", false, func(r *Route) *PoolName { return &r.Pool }),
		splitField,
		boolField("idempotent", func(r *Route) *bool { return &r.Idempotent }),
		boolField("nonIdempotent", func(r *Route) *bool { return &r.NonIdempotent }),
		boolField("upload", func(r *Route) *bool { return &r.Upload }),
		boolField("public", func(r *Route) *bool { return &r.Public }),
		intField("maxAttempts", false, func(r *Route) *int { return &r.MaxAttempts }),
		intField("priority", false, func(r *Route) *int { return &r.Priority }),
		intField("objectiveMs", false, func(r *Route) *Millis { return &r.ObjectiveMs }),
		stringsField("accounts", func(r *Route) *[]AccountName { return &r.Accounts }),
		intField("timeoutMs", true, func(r *Route) *Millis { return &r.TimeoutMs }),
		intField("maxBodyBytes", true, func(r *Route) *int64 { return &r.MaxBodyBytes }),
	}
	limitsSchema = []field[CallerLimits]{
		intField("maxHeaderBytes", false, func(l *CallerLimits) *int { return &l.MaxHeaderBytes }),
		intField("headerTimeoutMs", false, func(l *CallerLimits) *Millis { return &l.HeaderTimeoutMs }),
		intField("idleTimeoutMs", false, func(l *CallerLimits) *Millis { return &l.IdleTimeoutMs }),
	}
	weightedPoolSchema = []field[WeightedPool]{
		stringField("pool", true, func(s *WeightedPool) *PoolName { return &s.Pool }),
		floatField("weight", true, func(s *WeightedPool) *float64 { return &s.Weight }),
	}
	accountSchema = []field[AccountRow]{
		stringField("name", true, func(a *AccountRow) *AccountName { return &a.Name }),
		{
			name: "tokenSha256",
			set:  func(d *decoder, v *hujson.Value, a *AccountRow) { decodeSubstring(d, v, &a.TokenSHA256) },
			get:  func(a *AccountRow) any { return redactedDigest(a.TokenSHA256) },
		},
		tokensField,
		stringField("label", false, func(a *AccountRow) *string { return &a.Label }),
		{
			name: "priority",
			set: func(d *decoder, v *hujson.Value, a *AccountRow) {
				a.Priority = new(int)
				decodeInt(d, v, a.Priority)
			},
			get: func(a *AccountRow) any {
				if a.Priority == nil {
					return nil
				}
				return *a.Priority
			},
		},
		floatField("requestsPerSecond", false, func(a *AccountRow) *float64 { return &a.RatePerSecond }),
		floatField("burst", false, func(a *AccountRow) *float64 { return &a.Burst }),
	}
	poolsSchema = []field[Pools]{
		intField("fleetGroups", true, func(t *Pools) *int { return &t.FleetGroups }),
		rowsField("pools", true, func(t *Pools) *[]Pool { return &t.Pools }, decodePool),
	}
	poolSchema = []field[Pool]{
		stringField("name", true, func(p *Pool) *PoolName { return &p.Name }),
		intField("floor", true, func(p *Pool) *int { return &p.Floor }),
		intField("slots", true, func(p *Pool) *int { return &p.Slots }),
		intField("maxConnections", true, func(p *Pool) *int { return &p.MaxConnections }),
		intField("cellSize", false, func(p *Pool) *int { return &p.CellSize }),
		stringsField("cellDomains", func(p *Pool) *[]FailureDomain { return &p.CellDomains }),
		stringField("probePath", false, func(p *Pool) *string { return &p.ProbePath }),
		stringField("loadPath", false, func(p *Pool) *string { return &p.LoadPath }),
		{
			name: "policy", required: true,
			set: func(d *decoder, v *hujson.Value, p *Pool) { decodeObject(d, v, policySchema, &p.Policy) },
		},
		rowsField("targets", true, func(p *Pool) *[]Target { return &p.Targets }, decodeTarget),
	}
	policySchema = []field[Policy]{
		floatField("falseEjectionEveryHours", true, func(p *Policy) *float64 { return &p.FalseEjectionEveryHours }),
		floatField("slowFactor", false, func(p *Policy) *float64 { return &p.SlowFactor }),
		intField("queueLimit", false, func(p *Policy) *int { return &p.QueueLimit }),
		{
			name: "retryPercent",
			set: func(d *decoder, v *hujson.Value, p *Policy) {
				p.RetryPercent = new(float64)
				decodeFloat(d, v, p.RetryPercent)
			},
			get: func(p *Policy) any { return *p.RetryPercent },
		},
		intField("spellMs", false, func(p *Policy) *Millis { return &p.SpellMs }),
		floatField("retryBurst", false, func(p *Policy) *float64 { return &p.RetryBurst }),
		intField("rampMs", false, func(p *Policy) *Millis { return &p.RampMs }),
		stringField("scheduling", false, func(p *Policy) *Scheduling { return &p.Scheduling }),
		boolField("costAware", func(p *Policy) *bool { return &p.CostAware }),
	}
	targetSchema = []field[Target]{
		stringField("id", true, func(t *Target) *TargetID { return &t.ID }),
		stringField("address", true, func(t *Target) *string { return &t.Address }),
		{
			name: "failureDomain", required: true,
			set: func(d *decoder, v *hujson.Value, t *Target) { decodeInterned(d, v, &t.FailureDomain) },
			get: func(t *Target) any { return t.FailureDomain },
		},
		boolField("leaving", func(t *Target) *bool { return &t.Leaving }),
		intField("slots", false, func(t *Target) *int { return &t.Slots }),
		intField("started", false, func(t *Target) *int64 { return &t.Started }),
	}
)

// splitField decodes the weighted pools of a route. Diff compares them as one value.
var splitField = func() field[Route] {
	f := rowsField("split", false, func(r *Route) *[]WeightedPool { return &r.Split }, decodeWeightedPool)
	f.get = func(r *Route) any { return r.Split }
	return f
}()

// tokensField decodes the digests of an account's tokens. Diff shows only their first digits.
var tokensField = func() field[AccountRow] {
	f := rowsField("tokensSha256", false, func(a *AccountRow) *[]string { return &a.Tokens }, decodeSubstring[string])
	f.get = func(a *AccountRow) any {
		digests := make([]redactedDigest, len(a.Tokens))
		for i, t := range a.Tokens {
			digests[i] = redactedDigest(t)
		}
		return digests
	}
	return f
}()

func decodeWeightedPool(d *decoder, v *hujson.Value, s *WeightedPool) {
	decodeObject(d, v, weightedPoolSchema, s)
}

func decodeRoute(d *decoder, v *hujson.Value, r *Route) { decodeObject(d, v, routeSchema, r) }

func decodeAccount(d *decoder, v *hujson.Value, a *AccountRow) { decodeObject(d, v, accountSchema, a) }

func decodePool(d *decoder, v *hujson.Value, p *Pool) { decodeObject(d, v, poolSchema, p) }

func decodeTarget(d *decoder, v *hujson.Value, t *Target) { decodeObject(d, v, targetSchema, t) }

// redactedDigest is the digest of a secret. Reports show only its first digits, to indicate that it
// changed.
type redactedDigest string

// String returns the first 8 digits, followed by "...".
func (d redactedDigest) String() string { return string(d[:min(8, len(d))]) + "..." }
