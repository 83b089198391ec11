package nutmegtrace

import (
	"context"
	"net/http"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegledger"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// Records holds what the stand-ins ran and what the platform stores.
type Records struct {
	Runs        map[nutmegid.Upstream][]nutmegstand.EngineRun
	Calls       map[nutmegid.Upstream][]nutmegstand.ServiceCall
	Platform    nutmegstand.PlatformRecord
	Lines       []nutmegledger.Line // all lines of the ledger
	BilledLines []nutmegledger.Line // the line that bills each request
	Shards      []nutmegbudget.Shard
}

// Records reads the records of all stand-ins over HTTP.
func (t *Target) Records(ctx context.Context) (Records, error) {
	r := Records{
		Runs:  make(map[nutmegid.Upstream][]nutmegstand.EngineRun),
		Calls: make(map[nutmegid.Upstream][]nutmegstand.ServiceCall),
	}
	for name, u := range t.Upstreams {
		var err error
		if u.Kind == nutmegconf.KindEngine {
			var runs []nutmegstand.EngineRun
			err = t.get(ctx, u.URL+"/records", &runs)
			r.Runs[name] = runs
		} else {
			var calls []nutmegstand.ServiceCall
			err = t.get(ctx, u.URL+"/records", &calls)
			r.Calls[name] = calls
		}
		if err != nil {
			return r, err
		}
	}
	if err := t.get(ctx, t.PlatformURL+"/records", &r.Platform); err != nil {
		return r, err
	}
	var err error
	if r.Lines, err = t.LedgerLines(ctx); err != nil {
		return r, err
	}
	if r.BilledLines, _, err = nutmegledger.ReadUniqueLines(ctx, t.store()); err != nil {
		return r, err
	}
	r.Shards, err = t.shards(ctx)
	return r, err
}

func (t *Target) store() *nutmegstore.Client {
	return nutmegstore.NewClient(nutmegstore.ClientConfig{BaseURL: t.PlatformURL, HTTP: &http.Client{Transport: t.client.Transport}})
}

// LedgerLines reads all lines of the ledger, including repeated ones.
func (t *Target) LedgerLines(ctx context.Context) ([]nutmegledger.Line, error) {
	return nutmegledger.ReadAllLines(ctx, t.store())
}

func (t *Target) shards(ctx context.Context) ([]nutmegbudget.Shard, error) {
	return listBodies[nutmegbudget.Shard](ctx, t.store(), nutmegbudget.ShardKind)
}

// listBodies reads the bodies of all objects of a kind.
func listBodies[T any](ctx context.Context, client *nutmegstore.Client, kind string) ([]T, error) {
	objects, err := client.List(ctx, kind, "")
	if err != nil {
		return nil, err
	}
	decoded := make([]T, 0, len(objects))
	for _, object := range objects {
		doc, err := nutmegstore.Decode[T](object)
		if err != nil {
			return nil, err
		}
		decoded = append(decoded, doc.Body)
	}
	return decoded, nil
}

// Bills computes the bills from the ledger.
func (t *Target) Bills(ctx context.Context) (nutmegledger.Bills, error) {
	return nutmegledger.Fold(ctx, t.store())
}

// waitForLedger waits until the ledger holds a line of every answered chat, or
// until it times out.
func (t *Target) waitForLedger(ctx context.Context, requests []*CallerRequest) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	for ctx.Err() == nil {
		lines, err := t.LedgerLines(ctx)
		if err == nil && allBilled(lines, requests) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(ledgerPollInterval):
		}
	}
}

func allBilled(lines []nutmegledger.Line, requests []*CallerRequest) bool {
	billed := make(map[nutmegid.RequestID]bool)
	for _, line := range lines {
		billed[line.Request] = true
	}
	for _, r := range requests {
		if r.Step.Action == ActionChat && r.Complete && !r.isBilled(billed) {
			return false
		}
	}
	return true
}

// isBilled reports whether any attempt of the request has a ledger line.
func (r *CallerRequest) isBilled(billed map[nutmegid.RequestID]bool) bool {
	for _, a := range r.Attempts {
		if billed[a.Request] {
			return true
		}
	}
	return false
}
