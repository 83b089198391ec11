package nutmegtrace

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegledger"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// settleWait is how long a replay waits for the ledger to hold all answers.
const settleWait = 5 * time.Second

func (s Step) chat() Chat {
	return Chat{Workspace: s.Workspace, Prompt: s.Prompt, MaxTokens: s.MaxTokens}
}

// replayer runs the steps of one trace.
type replayer struct {
	fleet *Fleet
	trace Trace

	mu       sync.Mutex
	requests []sent
	prepaid  map[nutmegid.Workspace]nutmegid.Tokens
	failed   error
}

// Replay runs a trace against the fleet and judges the outcome.
func Replay(ctx context.Context, f *Fleet, trace Trace) (Measures, error) {
	if err := f.Setup(ctx, trace.Owners, trace.Workspaces); err != nil {
		return Measures{}, err
	}
	r := &replayer{fleet: f, trace: trace, prepaid: make(map[nutmegid.Workspace]nutmegid.Tokens)}
	for _, w := range trace.Workspaces {
		r.prepaid[w.Name] = w.Tokens
	}
	if err := r.steps(ctx); err != nil {
		return Measures{}, err
	}
	lines, err := f.waitLedger(ctx, r.requests)
	if err != nil {
		return Measures{}, err
	}
	return f.judge(r.requests, r.prepaid, lines), nil
}

// steps starts every step at its time and waits for all to end.
func (r *replayer) steps(ctx context.Context) error {
	start := time.Now()
	var wait sync.WaitGroup
	for _, step := range r.trace.Steps {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(start.Add(time.Duration(step.At)))):
		}
		for range max(1, step.Repeat) {
			wait.Go(func() { r.run(ctx, step) })
		}
	}
	wait.Wait()
	return r.failed
}

func (r *replayer) run(ctx context.Context, step Step) {
	switch step.Do {
	case ActionChat:
		result, err := r.fleet.Chat(ctx, step.Instance, step.chat())
		r.add(sent{step: step, result: result, err: err})
	case ActionOrder:
		result, err := r.fleet.Order(ctx, step.Instance, step.Workspace, step.Key, step.Body)
		r.add(sent{step: step, result: result, err: err})
	case ActionTopUp:
		r.topUp(ctx, step)
	}
}

func (r *replayer) add(s sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, s)
}

func (r *replayer) topUp(ctx context.Context, step Step) {
	_, err := r.fleet.Intend(ctx, step.Instance, nutmegconf.Intent{
		Kind: nutmegconf.IntentTopUp, Budget: step.Budget, Tokens: step.Tokens,
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failed = fmt.Errorf("top-up of %q: %w", step.Budget, err)
		return
	}
	for w := range r.prepaid {
		if nutmegid.WorkspaceBudget(w) == step.Budget {
			r.prepaid[w] += step.Tokens
		}
	}
}

// waitLedger reads the ledger until it holds a line of every answered chat.
func (f *Fleet) waitLedger(ctx context.Context, requests []sent) ([]nutmegledger.Line, error) {
	ctx, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	for {
		lines, err := f.Lines(ctx)
		if err != nil {
			return nil, err
		}
		if holdsAll(lines, requests) {
			return lines, nil
		}
		select {
		case <-ctx.Done():
			return lines, nil
		case <-time.After(DefaultFleetInterval):
		}
	}
}

func holdsAll(lines []nutmegledger.Line, requests []sent) bool {
	billed := make(map[nutmegid.RequestID]bool)
	for _, line := range lines {
		billed[line.Request] = true
	}
	for _, s := range requests {
		if s.step.Do == ActionChat && s.result.Whole && !billed[s.result.Request] {
			return false
		}
	}
	return true
}

// Lines reads all lines of the ledger.
func (f *Fleet) Lines(ctx context.Context) ([]nutmegledger.Line, error) {
	client := nutmegstore.NewClient(nutmegstore.ClientConfig{BaseURL: f.platformURL})
	objects, err := client.List(ctx, nutmegledger.SegmentKind, "")
	if err != nil {
		return nil, err
	}
	var lines []nutmegledger.Line
	for _, object := range objects {
		doc, err := nutmegstore.Decode[nutmegledger.Segment](object)
		if err != nil {
			return nil, err
		}
		lines = append(lines, doc.Body.Lines...)
	}
	return lines, nil
}

// Bills folds the ledger.
func (f *Fleet) Bills(ctx context.Context) (nutmegledger.Bills, error) {
	return nutmegledger.Fold(ctx, nutmegstore.NewClient(nutmegstore.ClientConfig{BaseURL: f.platformURL}))
}
