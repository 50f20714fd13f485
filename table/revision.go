package table

import "strconv"

// Revision orders the contents of the platform's store. The upper 16 bits are the era: how often the store was restored
// from a copy, after which it gives out numbers again that it has given out before. The bits below are the store's own
// number, which grows with every change of any value. Two tables that were read at one Revision existed at the same
// time.
type Revision uint64

// numberBits is the size of the store's own number in a Revision. At a million changes per second it lasts for nine
// years.
const numberBits = 48

// NewRevision returns the revision of a store. The error is of class Error if the era or the number is too large.
func NewRevision(era, number uint64) (Revision, error) {
	if number >= 1<<numberBits || era >= 1<<(64-numberBits) {
		return 0, Error.New("era %d and revision %d of the store are too large", era, number)
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns how often the store was restored from a copy.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the store's own revision number.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// String returns the number, after the era and a dot if the store counts eras.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(r.Era(), 10) + "." + number
}
