package notice

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// Error is the class of all errors of this package.
var Error = errs.Class("notice")

// Bounds of an ID and its parts, in characters.
const (
	minRandomLength = 8
	maxRandomLength = 64
	maxEntryLength  = 64
	maxIDLength     = maxEntryLength + 16 + 10 + maxRandomLength + 3
)

// ParseID parses the text form of an ID. It accepts exactly the strings that ID.String returns, so two
// different strings never name the same ID. Errors are of class Error.
func ParseID(s string) (ID, error) {
	if len(s) > maxIDLength {
		return ID{}, Error.New("id has %d characters, more than %d", len(s), maxIDLength)
	}
	randomDot := strings.LastIndexByte(s, '.')
	epochDot := lastDot(s, randomDot)
	incarnationDot := lastDot(s, epochDot)
	if incarnationDot <= 0 {
		return ID{}, Error.New("id %q is not of the form entry.incarnation.epoch.random", s)
	}
	id := ID{Entry: fleet.EntryID(s[:incarnationDot]), Random: s[randomDot+1:]}
	n, err := strconv.ParseUint(s[incarnationDot+1:epochDot], 16, 64)
	if err != nil || n == 0 {
		return ID{}, Error.New("id %q: incarnation is not a hexadecimal number above zero", s)
	}
	id.Incarnation = fleet.Incarnation(n)
	n, err = strconv.ParseUint(s[epochDot+1:randomDot], 10, 32)
	if err != nil {
		return ID{}, Error.New("id %q: epoch is not a number", s)
	}
	id.Epoch = Epoch(n)
	if err := checkRandom(id.Random); err != nil {
		return ID{}, Error.New("id %q: %v", s, err)
	}
	if id.String() != s {
		return ID{}, Error.New("id %q is not in its canonical form %q", s, id.String())
	}
	return id, nil
}

// lastDot returns the index of the last dot of s before end, or -1.
func lastDot(s string, end int) int {
	if end <= 0 {
		return -1
	}
	return strings.LastIndexByte(s[:end], '.')
}

func checkRandom(s string) error {
	if len(s) < minRandomLength || len(s) > maxRandomLength {
		return errs.New("random part has %d characters, not %d to %d", len(s), minRandomLength, maxRandomLength)
	}
	for _, c := range s {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c == '_', c == '-':
		default:
			return errs.New("random part contains %q", c)
		}
	}
	return nil
}

// String returns the text form of the ID.
func (i ID) String() string {
	return string(i.Entry) + "." + strconv.FormatUint(uint64(i.Incarnation), 16) + "." +
		strconv.FormatUint(uint64(i.Epoch), 10) + "." + i.Random
}
