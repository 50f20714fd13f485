package entry

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/table"
	"github.com/bilberrywood/bilberrywood/target"
)

// buffers holds the buffers through which bodies pass.
var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// targetRequest builds the request to a target.
func (e *Entry) targetRequest(x *exchange, row table.Target, patience time.Duration) *target.Request {
	h := x.Header.Clone()
	if x.Account != "" {
		// The token was for the entry; targets get the name of the account.
		h.Del("Authorization")
	}
	r := &target.Request{
		Address: row.Address, Instance: string(row.ID), Method: x.Method, Path: x.URI, Host: x.Host, Header: h,
		ContentLength: x.ContentLength, Idempotent: x.idempotent, Deadline: x.deadline,
		SilenceTimeout: patience,
		BeforeWrite:    func() error { return e.beforeWrite(x.deadline) },
		Trailer:        x.Trailer,
	}
	if x.kept == nil {
		r.StopBody = x.stopBody
	}
	if x.ContentLength != 0 {
		r.Body = x.nextBody()
	}
	return r
}

// answerHeader returns the head of a target's answer for the caller.
func (e *Entry) answerHeader(a *target.Response) peer.ResponseHeader {
	h := a.Header
	h.Set(headerOutcome, notice.OutcomeRun)
	h.Set(headerEntry, string(e.Settings.ID))
	if len(a.Trailer) > 0 {
		names := make([]string, 0, len(a.Trailer))
		for name := range a.Trailer {
			names = append(names, name)
		}
		h.Set("Trailer", strings.Join(names, ", "))
	}
	return peer.ResponseHeader{Status: a.Status, Header: h, ContentLength: a.ContentLength}
}

// bearer returns the token of the Authorization header.
func bearer(h http.Header) string {
	token, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}
