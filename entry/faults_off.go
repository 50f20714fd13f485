//go:build !faults

package entry

// readFaults switches no rule off.
func readFaults() (faults, error) { return faults{}, nil }
