//go:build process

package process

import (
	"io"
	"testing"
)

// headShapes are heads of many short lines within the limit of the settings.
var headShapes = []struct {
	name string
	head []byte
}{
	{"unfinished", append([]byte("GET /v1/status HTTP/1.1\r\nHost: x\r\n"), shortLines(hostileHeadBytes)...)},
	{"finished", append(append([]byte("GET /v1/status HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"), shortLines(hostileHeadBytes)...), "\r\nx"...)},
}

// Guards against the memory that heads cost at the operators' address.
func TestHostileOperatorHeads(t *testing.T) {
	for _, shape := range headShapes {
		t.Run(shape.name, func(t *testing.T) {
			h := hostileHarness(t, 1, 0, nil)
			id := h.fleetList[0].ID
			address, err := h.operatorAddress(id)
			h.check(err)
			c := h.newCrowdAt(address, func(_ int, w io.Writer) error {
				_, err := w.Write(shape.head)
				return err
			})
			defer c.close()
			h.checkBounds(id)
			h.checkOrdinary(id)
			h.await("operators get a response", func() bool { return h.status(id).State == "serving" })
		})
	}
}
