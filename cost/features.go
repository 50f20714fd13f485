package cost

import (
	"math/bits"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberrywood/bilberrywood/table"
)

// Shape identifies the shape of a path: its segments, with one placeholder for all that look like identifiers.
type Shape uint64

// SizeClass is the class of the size of a request's body. Each is four times as large as the one before.
type SizeClass uint8

// UnknownSize is the class of bodies whose length isn't announced.
const UnknownSize SizeClass = 255

// firstSizeClassBits is the number of bits of the sizes that form the first class of requests with a body: less than 256.
const firstSizeClassBits = 8

// Features are what the cost of a request may depend on.
type Features struct {
	Route   table.RouteName
	Method  string
	Shape   Shape
	Size    SizeClass
	Account table.AccountName
}

// SizeClassOf returns the class of a body of the given length in bytes; a negative length is not known.
func SizeClassOf(length int64) SizeClass {
	switch {
	case length < 0:
		return UnknownSize
	case length == 0:
		return 0
	}
	return SizeClass(1 + max(0, bits.Len64(uint64(length))-firstSizeClassBits+1)/2)
}

// placeholder replaces identifiers in the shape of a path. No path contains this byte unescaped.
const placeholder = " "

// ShapeOf returns the shape of the path of a request target. Its query is ignored.
func ShapeOf(uri string) Shape {
	path, _, _ := strings.Cut(uri, "?")
	hash := uint64(0)
	for path != "" {
		var segment string
		segment, path, _ = strings.Cut(path, "/")
		if isIdentifier(segment) {
			segment = placeholder
		}
		hash = mix(hash, xxhash.Sum64String(segment))
	}
	return Shape(hash)
}

// isIdentifier reports whether a segment probably identifies one of many things: it contains a digit and isn't the
// number of a version, like "v2".
func isIdentifier(segment string) bool {
	if !strings.ContainsAny(segment, "0123456789") {
		return false
	}
	version, found := strings.CutPrefix(segment, "v")
	return !found || strings.Trim(version, "0123456789") != ""
}

// mix combines two hashes; the order counts.
func mix(a, b uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	hi, lo := bits.Mul64(a^multiplier, b+multiplier)
	return hi ^ lo ^ bits.RotateLeft64(a, 17)
}

// Levels of the tree of means, below that of all requests.
const (
	levelRoute = iota
	levelMethod
	levelShape
	levelSize
	levelAccount
	numLevels
)

// keys identifies the node of each level. The account counts within the shape, whatever the size.
func (f *Features) keys() [numLevels]uint64 {
	route := mix(levelRoute+1, xxhash.Sum64String(string(f.Route)))
	method := mix(route, xxhash.Sum64String(f.Method))
	shape := mix(method, uint64(f.Shape))
	return [numLevels]uint64{
		levelRoute: route, levelMethod: method, levelShape: shape, levelSize: mix(shape, uint64(f.Size)),
		levelAccount: mix(shape+1, xxhash.Sum64String(string(f.Account))),
	}
}
