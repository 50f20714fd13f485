package quota

import (
	"github.com/cespare/xxhash/v2"

	"github.com/bilberrywood/bilberrywood/table"
)

// Shard returns the shard of an account, from 0 to n-1.
func Shard(account table.AccountName, n int) int {
	return int(xxhash.Sum64String(string(account)) % uint64(n))
}
