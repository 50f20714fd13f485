package fleet

import (
	"encoding/json"
	"strconv"

	"github.com/zeebo/errs"
)

// MarshalJSON writes the incarnation as a hexadecimal string, because many JSON readers round 64-bit numbers.
func (i Incarnation) MarshalJSON() ([]byte, error) {
	return json.Marshal(strconv.FormatUint(uint64(i), 16))
}

// UnmarshalJSON reads what MarshalJSON writes.
func (i *Incarnation) UnmarshalJSON(raw []byte) error {
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		return errs.Wrap(err)
	}
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return errs.Wrap(err)
	}
	*i = Incarnation(n)
	return nil
}
