//go:build process

package process

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/settings"
)

const (
	// smallestVMMemoryMB is the memory of the smallest VMs of the operators, which bounds an entry whose settings name none.
	smallestVMMemoryMB = 136
	// unreadResponseBytes is more than the kernel's buffers on both sides of a connection hold.
	unreadResponseBytes = 32 << 20
	// longTimeoutMs outlasts a test.
	longTimeoutMs = 300_000
)

// headShapes are heads of many short lines within the limit of the settings.
var headShapes = []struct {
	name string
	head []byte
}{
	{"unfinished", append([]byte("GET /v1/status HTTP/1.1\r\nHost: x\r\n"), shortLines(hostileHeadBytes)...)},
	{"finished", append(append([]byte("GET /v1/status HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"), shortLines(hostileHeadBytes)...), "\r\nx"...)},
}

// allowLongRequests gives the requests of all routes more time than a test takes.
func (h *testHarness) allowLongRequests() {
	h.t.Helper()
	for i := range h.routes.Routes {
		h.routes.Routes[i].TimeoutMs = longTimeoutMs
	}
	revision := h.publish()
	for _, r := range h.fleetList {
		h.await("the times of the routes are in force", func() bool { return h.status(r.ID).Revision >= revision })
	}
}

// ownerAndOther returns the owner of the lookups, and another entry.
func (h *testHarness) ownerAndOther() (owner, other fleet.EntryID) {
	h.t.Helper()
	owner = h.ownerSeenBy(h.fleetList[0].ID, lookups)
	for _, r := range h.fleetList {
		if r.ID != owner {
			other = r.ID
		}
	}
	return owner, other
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
		// bound allows connections of 16 KiB in a quarter of the memory, and the descriptors of targets, peers and files.
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

// Guards against heads that an entry forwards and that fill the memory of the owner while its targets are slow.
func TestHostileForwardedHeads(t *testing.T) {
	h := hostileHarness(t, 2, 2*time.Second, nil)
	h.allowLongRequests()
	owner, other := h.ownerAndOther()
	head := append([]byte(requestHead("Content-Length: 0\r\n")), shortLines(hostileHeadBytes)...)
	head = append(head, "\r\n"...)
	c := h.newCrowd(other, func(_ int, w io.Writer) error {
		_, err := w.Write(head)
		return err
	})
	defer c.close()
	h.checkBounds(owner)
	h.checkBounds(other)
	// The targets of the lookups may be busy with the crowd.
	h.checkServed(other, notices)
	h.checkServed(owner, notices)
}

// Guards against large responses that nobody reads: their memory, the slots of their targets, and the link between two entries.
func TestHostileUnreadResponses(t *testing.T) {
	for _, shape := range []struct {
		name    string
		entries int
	}{{"direct", 1}, {"forwarded", 2}} {
		t.Run(shape.name, func(t *testing.T) {
			h := hostileHarness(t, shape.entries, 0, nil)
			h.allowLongRequests()
			owner, other := h.ownerAndOther()
			if other == "" {
				other = owner
			}
			request := fmt.Appendf(nil, "GET /%s/x?bytes=%d HTTP/1.1\r\nHost: x\r\n\r\n", lookups, unreadResponseBytes)
			c := h.newCrowd(other, func(_ int, w io.Writer) error {
				_, err := io.Copy(w, bytes.NewReader(request))
				return err
			})
			defer c.close()
			h.checkBounds(owner)
			h.checkBounds(other)
			h.checkServed(other, notices)
			h.checkOrdinary(other)
			h.checkOrdinary(owner)
		})
	}
}

// Guards against bodies that many entries forward to one owner, where they wait unread while its targets are busy.
func TestHostileForwardedFromMany(t *testing.T) {
	const (
		entries  = 4
		bodySize = 200_000
	)
	h := hostileHarness(t, entries, 2*time.Second, nil)
	h.allowLongRequests()
	owner, _ := h.ownerAndOther()
	for _, r := range h.fleetList {
		if r.ID != owner {
			c := h.newCrowd(r.ID, func(_ int, w io.Writer) error { return hostileBody(w, true, bodySize, 10_000, 1) })
			defer c.close()
		}
	}
	for _, r := range h.fleetList {
		h.checkBounds(r.ID)
	}
	// The targets of the lookups may be busy with the crowd.
	for _, r := range h.fleetList {
		h.checkServed(r.ID, notices)
	}
}
