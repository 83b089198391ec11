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

// Records are what the stand-ins really did and hold.
type Records struct {
	Runs     map[nutmegid.Upstream][]nutmegstand.EngineRun
	Calls    map[nutmegid.Upstream][]nutmegstand.ServiceCall
	Platform nutmegstand.PlatformRecord
	Lines    []nutmegledger.Line // of the whole ledger
	Billed   []nutmegledger.Line // the one that counts of each request
	Shards   []nutmegbudget.Shard
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
	if r.Lines, err = t.Lines(ctx); err != nil {
		return r, err
	}
	if r.Billed, _, err = nutmegledger.ReadUniqueLines(ctx, t.store()); err != nil {
		return r, err
	}
	r.Shards, err = t.shards(ctx)
	return r, err
}

func (t *Target) store() *nutmegstore.Client {
	return nutmegstore.NewClient(nutmegstore.ClientConfig{BaseURL: t.PlatformURL, HTTP: &http.Client{Transport: t.client.Transport}})
}

// Lines reads all lines of the ledger, repeated ones included.
func (t *Target) Lines(ctx context.Context) ([]nutmegledger.Line, error) {
	return nutmegledger.ReadAllLines(ctx, t.store())
}

func (t *Target) shards(ctx context.Context) ([]nutmegbudget.Shard, error) {
	return bodies[nutmegbudget.Shard](ctx, t.store(), nutmegbudget.ShardKind)
}

// bodies reads all objects of a kind.
func bodies[T any](ctx context.Context, client *nutmegstore.Client, kind string) ([]T, error) {
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

// Bills folds the ledger.
func (t *Target) Bills(ctx context.Context) (nutmegledger.Bills, error) {
	return nutmegledger.Fold(ctx, t.store())
}

// waitLedger waits until the ledger holds a line of every answered chat, or
// the time is over.
func (t *Target) waitLedger(ctx context.Context, requests []*Sent) {
	ctx, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	for ctx.Err() == nil {
		lines, err := t.Lines(ctx)
		if err == nil && holdsAll(lines, requests) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(settlePoll):
		}
	}
}

func holdsAll(lines []nutmegledger.Line, requests []*Sent) bool {
	billed := make(map[nutmegid.RequestID]bool)
	for _, line := range lines {
		billed[line.Request] = true
	}
	for _, s := range requests {
		if s.Step.Do == ActionChat && s.Whole && !s.billed(billed) {
			return false
		}
	}
	return true
}

// billed reports whether any attempt of the request has a line.
func (s *Sent) billed(billed map[nutmegid.RequestID]bool) bool {
	for _, a := range s.Attempts {
		if billed[a.Request] {
			return true
		}
	}
	return false
}
