package configuration_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/table"
)

// anyRevision accepts any valid pair, whatever its revision.
type anyRevision struct{ *table.Acceptor }

func (a *anyRevision) Offer(now time.Time, source string, s table.Snapshot) table.OfferResult {
	candidate := &table.Acceptor{}
	result := candidate.Offer(now, source, s)
	if result.Verdict == table.Accepted {
		a.Acceptor = candidate
	}
	return result
}

func (a *anyRevision) Active() (*table.Pair, time.Time) {
	if a.Acceptor == nil {
		return nil, time.Time{}
	}
	return a.Acceptor.Active()
}

// perTable accepts each table separately, by the revision at which it was put.
type perTable struct {
	cluster *cluster
	values  map[string][]byte
	pair    *table.Pair
}

func (p *perTable) Offer(_ time.Time, _ string, s table.Snapshot) table.OfferResult {
	next := make(map[string][]byte)
	var highest table.Revision
	for key, raw := range s.Values {
		if current, ok := p.values[key]; ok && p.cluster.putRevisions[string(current)] > p.cluster.putRevisions[string(raw)] {
			raw = current
		}
		next[key] = raw
		highest = max(highest, p.cluster.putRevisions[string(raw)])
	}
	if pair, err := table.NewPair(highest, next); err == nil {
		p.pair = pair
	}
	p.values = next
	return table.OfferResult{Active: p.pair}
}

func (p *perTable) Active() (*table.Pair, time.Time) { return p.pair, time.Time{} }

// forgeSecondIndex changes the second index of a read to confirm the versions of the values served
// before, as if the reader did not read the second index.
func (c *cluster) forgeSecondIndex(r *http.Request, response *http.Response) error {
	switch {
	case r.URL.Path == configuration.PathFleet:
	case r.URL.Path != configuration.PathIndex:
		c.served[r.URL.Path[len(configuration.PathValues):]] = response.Header.Get(configuration.HeaderRevision)
	case c.served == nil:
		c.served = make(map[string]string)
	default:
		return c.confirmServedVersions(response)
	}
	return nil
}

func (c *cluster) confirmServedVersions(response *http.Response) error {
	var index configuration.Index
	if err := json.NewDecoder(response.Body).Decode(&index); err != nil {
		return err
	}
	for i, row := range index.Values {
		if served, err := strconv.ParseUint(c.served[row.Name], 10, 64); err == nil {
			index.Values[i].Revision = table.Revision(served)
		}
	}
	raw, err := json.Marshal(index)
	response.Body = io.NopCloser(bytes.NewReader(raw))
	return err
}
