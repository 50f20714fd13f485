package peer

import (
	"context"
	"io"

	"github.com/quic-go/quic-go"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// MaxQuotaAccounts is the maximum number of accounts in a QuotaRequest.
const MaxQuotaAccounts = 128

// QuotaRequest asks a peer for credit of accounts that it owns. An entry of an earlier build rejects it.
type QuotaRequest struct {
	// Accounts and Wanted have one element for each account.
	Accounts []table.AccountName `cbor:"1,keyasint"`
	Wanted   []uint32            `cbor:"2,keyasint"`
	// To is the entry that owns the accounts. Any other receiver passes the request on once; empty means the receiver.
	To fleet.EntryID `cbor:"3,keyasint,omitempty"`
}

// QuotaResult is the response to a QuotaRequest, with one element for each account.
type QuotaResult struct {
	Grants []QuotaGrant `cbor:"1,keyasint"`
}

// QuotaGrant is the credit of one account.
type QuotaGrant struct {
	Credit uint32 `cbor:"1,keyasint,omitempty"`
	// RetryMs is when there is room again, if Credit is 0.
	RetryMs int64 `cbor:"2,keyasint,omitempty"`
	// NotOwner says that the peer does not own the account.
	NotOwner bool `cbor:"3,keyasint,omitempty"`
}

// RequestQuota asks a peer for credit. Errors are *Error.
func (n *Node) RequestQuota(ctx context.Context, to fleet.Member, q QuotaRequest) (QuotaResult, error) {
	var result QuotaResult
	err := n.request(ctx, to, frameQuota, q, func(r io.Reader) (err error) {
		result, err = readMessage[QuotaResult](r, frameQuotaResult)
		if err == nil && len(result.Grants) != len(q.Accounts) {
			err = errorClass.New("%d grants for %d accounts", len(result.Grants), len(q.Accounts))
		}
		return err
	})
	return result, err
}

func (n *Node) serveQuota(s *quic.Stream, payload []byte) error {
	q, err := decodeMessage[QuotaRequest](payload, frameQuota.limit())
	if err != nil {
		return err
	}
	if len(q.Accounts) != len(q.Wanted) || len(q.Accounts) > MaxQuotaAccounts {
		return errorClass.New("credit is wanted %d times for %d accounts", len(q.Wanted), len(q.Accounts))
	}
	return respond(s, frameQuotaResult, n.Handler.Quota(s.Context(), q))
}
