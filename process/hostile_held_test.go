//go:build process

package process

import (
	"io"
	"testing"

	"github.com/bilberrywood/bilberrywood/settings"
)

// smallestVMMemoryMB is the memory of the smallest VMs of the operators, which bounds an entry whose settings name none.
const smallestVMMemoryMB = 136

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

// Guards against a default budget that the smallest VMs can't bear.
func TestHostileWithoutMemorySetting(t *testing.T) {
	for _, shape := range []struct {
		name string
		send func(i int, w io.Writer) error
	}{
		{"heads", func(_ int, w io.Writer) error {
			_, err := w.Write(headShapes[0].head)
			return err
		}},
		{"bodies", func(_ int, w io.Writer) error { return hostileBody(w, false, hostileBodyBytes, hostileBodyBytes, 1) }},
	} {
		t.Run(shape.name, func(t *testing.T) {
			h := hostileHarness(t, 1, 0, func(s *settings.Entry) { s.VM.MemoryMB = 0 })
			id := h.fleetList[0].ID
			c := h.newCrowd(id, shape.send)
			defer c.close()
			h.checkBoundsWithin(id, smallestVMMemoryMB)
			h.checkOrdinary(id)
		})
	}
}

// Guards against connections without a limit if the settings name no number of descriptors: then the memory limits them.
func TestHostileWithoutDescriptorSetting(t *testing.T) {
	const (
		memoryMB = 16
		// bound has a quarter of the memory in connections of 16 KiB, and the descriptors of targets, peers and files.
		bound = memoryMB<<20/4/(16<<10) + 44
	)
	h := hostileHarness(t, 1, 0, func(s *settings.Entry) { s.VM.MemoryMB = memoryMB })
	id := h.fleetList[0].ID
	c := h.newCrowd(id, func(_ int, w io.Writer) error {
		_, err := io.WriteString(w, requestHead())
		return err
	})
	defer c.close()
	h.checkBounds(id)
	if fds := h.descriptors(id); fds > bound {
		t.Errorf("%d descriptors, bound %d", fds, bound)
	}
	h.checkOrdinary(id)
}
