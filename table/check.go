package table

import (
	"fmt"
	"net/netip"
	"strings"
)

// Limits of the tables' fields, in the unit of the field. Adapters fit values of other sources to the exported ones.
const (
	maxNameLength         = 128
	maxHostLength         = 253
	MaxMillis             = 3_600_000
	MaxBodyBytes          = 1 << 40
	maxFleetGroups        = 10_000
	MaxSlots              = 1_000
	MaxConnections        = 100_000
	maxCellSize           = 10_000
	maxCellDomains        = 1_000
	maxQueueLimit         = 1_000_000
	maxFalseEjectionHours = 1_000_000
	minSlowFactor         = 1.5
	maxSlowFactor         = 100
	sha256HexLength       = 64
	maxPercent            = 100
	maxPrefixSegments     = 32
	MinWeight             = 1e-6
	MaxWeight             = 1_000_000
	MaxAttempts           = 100
	MaxPriority           = 100
	maxVersion            = 1 << 62
	maxLabelLength        = 1_000
	MaxRatePerSecond      = 1e9
)

// Check returns every rule that the two tables break, each by itself or both together. A nil table is
// one that could not be parsed; it is not checked. The problems have no line and column: File is the key
// of the value and Pointer the location in it. Paths are matched by MatchSegments.
func Check(routes *Routes, pools *Pools) Problems { return check(routes, pools, MatchSegments) }

func check(routes *Routes, pools *Pools, paths PathMatching) Problems {
	c := checker{paths: paths}
	if pools != nil {
		c.checkPools(pools)
	}
	if routes != nil {
		c.checkRoutes(routes, pools)
	}
	return c.problems
}

// checker collects the problems of one table at a time.
type checker struct {
	file     string
	paths    PathMatching
	problems Problems
}

// location is a row of a table, or a row inside a row. It is small because one is stored for each name
// and address while a table is checked. The pointer is built only for rows with a problem.
type location struct {
	list, inner       listID
	index, innerIndex int32
}

// listID identifies a list of rows.
type listID uint8

const (
	noList listID = iota
	routesList
	accountsList
	poolsList
	targetsList
	methodsList
	splitList
	tokensList
)

var listNames = [...]string{
	routesList: "routes", accountsList: "accounts", poolsList: "pools", targetsList: "targets", methodsList: "methods",
	splitList: "split", tokensList: "tokensSha256",
}

func rowLocation(list listID, index int) location { return location{list: list, index: int32(index)} }

func (l location) child(list listID, index int) location {
	l.inner, l.innerIndex = list, int32(index)
	return l
}

func (l location) pointer(fieldName string) string {
	var b strings.Builder
	if l.list != noList {
		fmt.Fprintf(&b, "/%s/%d", listNames[l.list], l.index)
	}
	if l.inner != noList {
		fmt.Fprintf(&b, "/%s/%d", listNames[l.inner], l.innerIndex)
	}
	if fieldName != "" {
		b.WriteString("/" + fieldName)
	}
	return b.String()
}

func (c *checker) addProblem(at location, fieldName, format string, args ...any) {
	if len(c.problems) > maxProblems {
		return
	}
	p := Problem{File: c.file, Pointer: at.pointer(fieldName), Reason: fmt.Sprintf(format, args...)}
	c.problems = append(c.problems, p)
}

// checkRange reports a value that is not between lower and upper.
func checkRange[N int | int64 | float64](c *checker, at location, fieldName string, value, lower, upper N) {
	if value >= lower && value <= upper {
		return
	}
	c.addProblem(at, fieldName, "%s %v is not between %v and %v", lastSegment(fieldName), value, lower, upper)
}

// lastSegment returns the part of a field's path after the last "/".
func lastSegment(fieldName string) string {
	return fieldName[strings.LastIndexByte(fieldName, '/')+1:]
}

// checkName reports names that can't be used unquoted in headers, logs, URLs and commands.
func checkName[S ~string](c *checker, at location, fieldName string, name S) {
	switch {
	case name == "":
		c.addProblem(at, fieldName, "%s is empty", lastSegment(fieldName))
	case len(name) > maxNameLength:
		c.addProblem(at, fieldName, "%s is longer than %d bytes", lastSegment(fieldName), maxNameLength)
	case !validName(string(name)):
		c.addProblem(at, fieldName, "%s %q may hold only letters, digits, and . _ - : @", lastSegment(fieldName), string(name))
	}
}

// IsName reports whether rows of the tables may have the name.
func IsName(name string) bool { return name != "" && len(name) <= maxNameLength && validName(name) }

// allowedNameBytes marks the bytes that are allowed in names.
var allowedNameBytes = func() (marks [256]bool) {
	for _, b := range []byte("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:@") {
		marks[b] = true
	}
	return marks
}()

func validName(name string) bool {
	for i := range len(name) {
		if !allowedNameBytes[name[i]] {
			return false
		}
	}
	return true
}

// checkUnique reports a key that an earlier row has, or else adds it to seen.
func checkUnique[K comparable](c *checker, seen map[K]location, key K, at location, fieldName string) {
	first, ok := seen[key]
	if !ok {
		seen[key] = at
		return
	}
	c.addProblem(at, fieldName, "%s %q is already used at %s", lastSegment(fieldName), fmt.Sprint(key), first.pointer(""))
}

// checkAddress reports an address that is not the IP address of one host with a port to connect to.
func checkAddress(c *checker, at location, fieldName, address string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		c.addProblem(at, fieldName, "address %q is not an IP address with a port", address)
	case a.Port() == 0:
		c.addProblem(at, fieldName, "address %q has port 0", address)
	case a.Addr().IsUnspecified(), a.Addr().IsMulticast():
		c.addProblem(at, fieldName, "address %q is not the address of one host", address)
	case a.Addr().Zone() != "":
		c.addProblem(at, fieldName, "address %q has a zone, which differs between hosts", address)
	default:
		return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), true
	}
	return netip.AddrPort{}, false
}
