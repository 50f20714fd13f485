package table

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a revision of a restored store that ranks below one from before.
func TestRevisionOrder(t *testing.T) {
	is := is.New(t)
	var last Revision
	for _, c := range []struct {
		era, number uint64
		text        string
	}{
		{0, 1, "1"}, {0, 1<<numberBits - 1, "281474976710655"}, {1, 0, "1.0"}, {1, 40, "1.40"}, {2, 39, "2.39"}, {1<<16 - 1, 1, "65535.1"},
	} {
		r, err := NewRevision(c.era, c.number)
		is.NoErr(err)
		is.True(r > last)
		is.Equal(r.Era(), c.era)
		is.Equal(r.Number(), c.number)
		is.Equal(r.String(), c.text)
		last = r
	}
	for _, c := range [][2]uint64{{0, 1 << numberBits}, {1 << 16, 0}} {
		_, err := NewRevision(c[0], c[1])
		is.True(Error.Has(err))
	}
}
