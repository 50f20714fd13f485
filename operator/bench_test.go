package operator

import (
	"fmt"
	"testing"
)

// BenchmarkAudit measures an audit without a network. The same process builds, reads and compares the
// responses of all entries.
func BenchmarkAudit(b *testing.B) {
	for _, entries := range []int{44, 440, 4200} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			dir := b.TempDir()
			if err := writeFiles(dir, map[string]string{"routes.json": routesText, "pools.json": poolsText}); err != nil {
				b.Fatal(err)
			}
			n := make(fakeNetwork)
			c := n.client()
			for i := range entries {
				name := fmt.Sprintf("e%d", i)
				n[name] = newFakeEntry("")
				c.Addresses = append(c.Addresses, Address{Address: name})
			}
			for b.Loop() {
				r, err := Audit(b.Context(), c, dir+"/routes.json", dir+"/pools.json")
				if err != nil || !r.OK() {
					b.Fatal(err, "no match")
				}
			}
		})
	}
}
