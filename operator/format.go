package operator

import (
	"strconv"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// Digest is the digest of a pair of tables. Its text form is 16 hex digits, since many JSON readers would
// round a number of 64 bits.
type Digest uint64

// String returns the digest as 16 hex digits.
func (d Digest) String() string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := range b {
		b[i] = digits[d>>(4*(len(b)-1-i))&0xf]
	}
	return string(b[:])
}

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 16, 64)
	*d = Digest(v)
	return Error.Wrap(err)
}

// timeText formats a time in the local time zone. The zero time becomes "".
func timeText(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.Local().Format("2006-01-02 15:04:05.000 -0700")
}

func revisionText(r table.Revision) string {
	if r == 0 {
		return ""
	}
	return r.String()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func decimalText(f float64) string { return strconv.FormatFloat(f, 'f', 2, 64) }
