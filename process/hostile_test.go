//go:build process

package process

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/settings"
)

// The crowd of a test, and the bounds that the entries keep to under it.
const (
	hostileConnections = 300
	// hostileMemoryMB is the memory of the VM in the settings, and the bound of the process.
	hostileMemoryMB = 64
	// hostileDescriptors bounds the descriptors of a process: the crowd's, and those of targets, peers and files.
	hostileDescriptors = hostileConnections + 100
	// hostileHeadBytes is a head within the limit of the settings, hostileBodyBytes a body that is buffered.
	hostileHeadBytes = 60_000
	hostileBodyBytes = 500_000
	// operatorsHeaderLimit is the limit on headers in the tables, below that of the settings.
	operatorsHeaderLimit = 16 << 10
	// sendLimit is after how long a connection of the crowd stops to send.
	sendLimit = 10 * time.Second
)

func hostileHarness(t *testing.T, entryCount int, serviceTime time.Duration, modify func(*settings.Entry)) *testHarness {
	h := newHarness(t, options{entryCount: entryCount, serviceTime: serviceTime, modifySettings: func(s *settings.Entry) {
		s.VM.MemoryMB = hostileMemoryMB
		s.ReplayBytes = 512 << 10
		if modify != nil {
			modify(s)
		}
	}})
	return h
}

// crowd is a set of open connections.
type crowd struct {
	h           *testHarness
	connections []net.Conn
}

// newCrowd opens connections to an entry and sends on each what send writes. It returns when all have sent or were closed.
func (h *testHarness) newCrowd(id fleet.EntryID, send func(i int, w io.Writer) error) *crowd {
	h.t.Helper()
	return h.newCrowdAt(h.fleetRow(id).CallerAddress, send)
}

// newCrowdAt is newCrowd at any address of an entry.
func (h *testHarness) newCrowdAt(address string, send func(i int, w io.Writer) error) *crowd {
	h.t.Helper()
	c := &crowd{h: h}
	for range hostileConnections {
		conn, err := net.DialTimeout("tcp", address, sendLimit)
		h.check(err)
		c.connections = append(c.connections, conn)
		h.check(conn.SetWriteDeadline(time.Now().Add(sendLimit)))
	}
	var sent sync.WaitGroup
	for i, conn := range c.connections {
		sent.Go(func() { _ = send(i, conn) }) // the entry may close the connection
	}
	sent.Wait()
	return c
}

func (c *crowd) close() {
	for _, conn := range c.connections {
		_ = conn.Close()
	}
}

// awaitClosed waits until the entry has closed all connections.
func (c *crowd) awaitClosed() {
	c.h.t.Helper()
	for i, conn := range c.connections {
		c.h.check(conn.SetReadDeadline(time.Now().Add(awaitLimit)))
		_, err := io.Copy(io.Discard, conn)
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			c.h.t.Fatalf("connection %d is still open", i)
		}
	}
}

// processStatus returns a field of /proc/PID/status in MB.
func (h *testHarness) processStatus(id fleet.EntryID, field string) int {
	h.t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.entries[id].cmd.Process.Pid))
	h.check(err)
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			h.check(err)
			return kb >> 10
		}
	}
	h.t.Fatalf("%s: no field %s", id, field)
	return 0
}

func (h *testHarness) descriptors(id fleet.EntryID) int {
	h.t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", h.entries[id].cmd.Process.Pid))
	h.check(err)
	return len(files)
}

// checkBounds waits until the peak memory of an entry has stopped growing, and checks the bounds.
func (h *testHarness) checkBounds(id fleet.EntryID) {
	h.t.Helper()
	h.checkBoundsWithin(id, hostileMemoryMB)
}

// checkBoundsWithin is checkBounds with another bound on the memory.
func (h *testHarness) checkBoundsWithin(id fleet.EntryID, memoryMB int) {
	h.t.Helper()
	const settled = 2 * time.Second
	peak, since := 0, time.Now()
	h.await("the peak memory has settled", func() bool {
		if p := h.processStatus(id, "VmHWM"); p != peak {
			peak, since = p, time.Now()
		}
		return time.Since(since) > settled
	})
	fds := h.descriptors(id)
	h.t.Logf("%s: peak %d MB, now %d MB, %d descriptors", id, peak, h.processStatus(id, "VmRSS"), fds)
	select {
	case <-h.entries[id].exited:
		h.t.Fatalf("%s has ended: %v", id, h.entries[id].err)
	default:
	}
	if peak > memoryMB {
		h.t.Errorf("%s: peak memory %d MB, bound %d MB", id, peak, memoryMB)
	}
	if fds > hostileDescriptors {
		h.t.Errorf("%s: %d descriptors, bound %d", id, fds, hostileDescriptors)
	}
}

// checkOrdinary waits until an ordinary request at an entry is served.
func (h *testHarness) checkOrdinary(id fleet.EntryID) {
	h.t.Helper()
	h.checkServed(id, lookups)
}

// checkServed waits until a request on a route is served.
func (h *testHarness) checkServed(id fleet.EntryID, route string) {
	h.t.Helper()
	client := http.Client{Timeout: sendLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	h.await("an ordinary request is served", func() bool {
		response, err := client.Get("http://" + h.fleetRow(id).CallerAddress + "/" + route + "/x")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// requestHead returns the start of a request for the lookups, without the empty line that ends its head.
func requestHead(fields ...string) string {
	return "POST /" + lookups + "/x HTTP/1.1\r\nHost: x\r\n" + strings.Join(fields, "")
}

// shortLines returns header fields of a total size, each with a name of its own.
func shortLines(size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\n", i)
	}
	return b.Bytes()
}

// Guards against the memory that header fields cost beyond their bytes, in heads that don't end.
func TestHostileUnfinishedHeads(t *testing.T) {
	h := hostileHarness(t, 1, 0, nil)
	id := h.fleetList[0].ID
	head := append([]byte(requestHead()), shortLines(hostileHeadBytes)...)
	c := h.newCrowd(id, func(_ int, w io.Writer) error {
		_, err := w.Write(head)
		return err
	})
	defer c.close()
	h.checkBounds(id)
	h.checkOrdinary(id)
}

// Guards against the memory that header fields cost beyond their bytes, in requests whose body doesn't end.
func TestHostileFinishedHeads(t *testing.T) {
	h := hostileHarness(t, 1, 0, nil)
	id := h.fleetList[0].ID
	head := append([]byte(requestHead("Content-Length: 2\r\n")), shortLines(hostileHeadBytes)...)
	head = append(head, "\r\nx"...)
	c := h.newCrowd(id, func(_ int, w io.Writer) error {
		_, err := w.Write(head)
		return err
	})
	defer c.close()
	h.checkBounds(id)
	h.checkOrdinary(id)
}

// Guards against heads that are read beyond the operators' limit, up to that of the server.
func TestHostileEndlessHeads(t *testing.T) {
	for _, shape := range []struct {
		name string
		next []byte
	}{
		{"lines", shortLines(hostileHeadBytes)},
		{"oneLine", bytes.Repeat([]byte("a"), hostileHeadBytes)},
		{"continued", bytes.Repeat([]byte(" \r\n"), hostileHeadBytes/3)},
	} {
		t.Run(shape.name, func(t *testing.T) {
			h := hostileHarness(t, 1, 0, func(s *settings.Entry) { s.MaxHeaderBytes = 1 << 20 })
			h.routes.Limits.MaxHeaderBytes = operatorsHeaderLimit
			revision := h.publish()
			id := h.fleetList[0].ID
			h.await("the limit is in force", func() bool { return h.status(id).Revision >= revision })
			c := h.newCrowd(id, func(_ int, w io.Writer) error {
				_, err := io.WriteString(w, requestHead("A: "))
				for sent := 0; sent < 16*hostileHeadBytes && err == nil; sent += hostileHeadBytes {
					_, err = w.Write(shape.next)
				}
				return err
			})
			defer c.close()
			h.checkBounds(id)
			c.awaitClosed()
			h.checkOrdinary(id)
		})
	}
}

// Guards against a connection that is read without end because only empty lines arrive.
func TestHostileEmptyLines(t *testing.T) {
	h := hostileHarness(t, 1, 0, nil)
	id := h.fleetList[0].ID
	lines := bytes.Repeat([]byte("\r\n"), hostileHeadBytes/2)
	c := h.newCrowd(id, func(_ int, w io.Writer) error {
		for sent := 0; sent < 16*hostileHeadBytes; sent += len(lines) {
			if _, err := w.Write(lines); err != nil {
				return err
			}
		}
		return nil
	})
	defer c.close()
	h.checkBounds(id)
	c.awaitClosed()
	h.checkOrdinary(id)
}

// Guards against connections that take the descriptors which an entry needs for targets, peers and new callers.
func TestHostileConnections(t *testing.T) {
	const descriptors = 200
	h := hostileHarness(t, 1, 0, func(s *settings.Entry) { s.VM.MaxDescriptors = descriptors })
	id := h.fleetList[0].ID
	c := h.newCrowd(id, func(_ int, w io.Writer) error {
		_, err := io.WriteString(w, requestHead())
		return err
	})
	defer c.close()
	h.checkBounds(id)
	if fds := h.descriptors(id); fds > descriptors {
		t.Errorf("%d descriptors, bound %d", fds, descriptors)
	}
	h.checkOrdinary(id)
}

// hostileBody writes a request with a body of a size, in pieces, without its last bytes.
func hostileBody(w io.Writer, chunked bool, size, piece, missing int) error {
	if _, err := io.WriteString(w, bodyHead(chunked, size)); err != nil {
		return err
	}
	body := bytes.Repeat([]byte("x"), size-missing)
	for len(body) > 0 {
		part := body[:min(piece, len(body))]
		body = body[len(part):]
		if chunked {
			part = fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
		}
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	if chunked && missing == 0 {
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err
	}
	return nil
}

func bodyHead(chunked bool, size int) string {
	if chunked {
		return requestHead("Transfer-Encoding: chunked\r\n", "\r\n")
	}
	return requestHead(fmt.Sprintf("Content-Length: %d\r\n", size), "\r\n")
}

// Guards against bodies that are held in memory while their last bytes don't arrive.
func TestHostileBodies(t *testing.T) {
	for _, shape := range []struct {
		name           string
		chunked        bool
		piece, missing int
	}{
		{"held", false, hostileBodyBytes, 1},
		{"pieces", false, 10_000, 1},
		{"chunks", true, 10_000, 1},
		{"whole", false, hostileBodyBytes, 0},
	} {
		t.Run(shape.name, func(t *testing.T) {
			h := hostileHarness(t, 1, time.Second, nil)
			id := h.fleetList[0].ID
			c := h.newCrowd(id, func(_ int, w io.Writer) error {
				return hostileBody(w, shape.chunked, hostileBodyBytes, shape.piece, shape.missing)
			})
			h.checkBounds(id)
			if !shape.chunked {
				h.checkOrdinary(id)
			}
			c.close()
			h.checkOrdinary(id)
		})
	}
}

// Guards against bodies that an entry forwards and that fill the memory of the owner.
func TestHostileForwardedBodies(t *testing.T) {
	for _, shape := range []struct {
		name    string
		chunked bool
		missing int
	}{{"whole", false, 0}, {"chunks", true, 1}} {
		t.Run(shape.name, func(t *testing.T) {
			h := hostileHarness(t, 2, 2*time.Second, nil)
			// The requests of the crowd outlast the test.
			h.routes.Routes[0].TimeoutMs = 300_000
			revision := h.publish()
			for _, r := range h.fleetList {
				h.await("the time of the route is in force", func() bool { return h.status(r.ID).Revision >= revision })
			}
			owner := h.ownerSeenBy(h.fleetList[0].ID, lookups)
			other := h.fleetList[0].ID
			if other == owner {
				other = h.fleetList[1].ID
			}
			c := h.newCrowd(other, func(_ int, w io.Writer) error {
				return hostileBody(w, shape.chunked, hostileBodyBytes, 50_000, shape.missing)
			})
			h.checkBounds(owner)
			h.checkBounds(other)
			// The targets of the lookups may be busy with the crowd.
			h.checkServed(other, notices)
			c.close()
			h.checkOrdinary(other)
			h.checkOrdinary(owner)
		})
	}
}
