package entry

import (
	"slices"
	"strings"
	"sync"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
	"github.com/bilberrywood/bilberrywood/target"
)

// copyBuffers holds the buffers for copying bodies.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// targetRequest builds the request to a target.
func (e *Entry) targetRequest(x *exchange, to table.Target, cell *cellRunner, id pool.RequestID) *target.Request {
	h := x.Header.Clone()
	if x.Account != "" || x.accountsByToken {
		// The token authenticates to the entry only; targets get the name of the account.
		h.Del(headerAuthorization)
	}
	if name := e.accountHeader(); name != "" && x.accountsByToken {
		// Only the entry says which account a request belongs to.
		h.Del(name)
		if x.accountLabel != "" {
			h.Set(name, x.accountLabel)
		}
	}
	r := &target.Request{
		Address: to.Address, Instance: string(to.ID), Method: x.Method, Path: x.TargetURI(), Host: x.Host, Header: h,
		ContentLength: x.ContentLength, Idempotent: x.idempotent, Deadline: e.deadline(x),
		SilenceTimeout: cell.silenceTimeout(),
		BeforeWrite: func() error {
			if !cell.acceptsRequests(to.ID) {
				return errRevoked
			}
			if err := e.beforeWrite(x); err != nil {
				return err
			}
			return cell.beginWrite(id)
		},
		Trailer:       x.Trailer,
		NewConnection: !x.idempotent && slices.Contains(x.triedTargets, to.ID),
	}
	x.triedTargets = append(x.triedTargets, to.ID)
	if x.buffered == nil {
		r.StopBody = x.abortBody
	}
	if x.ContentLength != 0 {
		r.Body = x.nextBody()
	}
	return r
}

// errRevoked means that the target has announced, since it was chosen, that it wants no requests.
var errRevoked = Error.New("the target wants no requests any more")

// responseHeader returns the header of a target's response for the caller.
func (e *Entry) responseHeader(resp *target.Response, from table.Target) peer.ResponseHeader {
	h := resp.Header
	h.Set(headerOutcome, notice.OutcomeRun)
	h.Set(headerEntry, string(e.Settings.ID))
	if len(resp.Trailer) > 0 {
		names := make([]string, 0, len(resp.Trailer))
		for name := range resp.Trailer {
			names = append(names, name)
		}
		h.Set("Trailer", strings.Join(names, ", "))
	}
	header := peer.ResponseHeader{Status: resp.Status, Header: h, ContentLength: resp.ContentLength}
	if resp.Draining {
		header.Announcement = &fleet.TargetAnnouncement{Target: from.ID, Started: from.Started, Leaving: true}
	}
	return header
}
