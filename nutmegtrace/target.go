package nutmegtrace

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegnode"
)

// InstanceAddress is where one instance takes callers and operators, "ip:port".
type InstanceAddress struct {
	Callers   string `toml:"callers"`
	Operators string `toml:"operators"`
}

// Target is a fleet as it is reached by address: its instances and the
// stand-ins whose records judge it.
type Target struct {
	PlatformURL string
	OperatorKey string
	Upstreams   map[nutmegid.Upstream]nutmegconf.UpstreamConfig
	Model       nutmegid.Model

	client *http.Client // of operators and records
	caller *http.Client // of callers

	mu        sync.Mutex
	instances []InstanceAddress
	down      []bool
}

// NewTarget returns a target without instances.
func NewTarget(platformURL, key string) *Target {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: embeddedPlatformConnsPerHost}}
	return &Target{
		PlatformURL: platformURL, OperatorKey: key, Model: DefaultModel, client: client, caller: client,
		Upstreams: make(map[nutmegid.Upstream]nutmegconf.UpstreamConfig),
	}
}

// SetInstance gives instance i an address and marks it as up.
func (t *Target) SetInstance(i int, a InstanceAddress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.instances) <= i {
		t.instances = append(t.instances, InstanceAddress{})
		t.down = append(t.down, true)
	}
	t.instances[i] = a
	t.down[i] = false
}

// setDown tells the balancer that instance i takes no requests.
func (t *Target) setDown(i int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down[i] = true
}

// Instances returns the number of instances, those that are down included.
func (t *Target) Instances() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.instances)
}

// Address returns where instance i listens, and whether it is up.
func (t *Target) Address(i int) (InstanceAddress, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instances[i], !t.down[i]
}

// balance returns the first instance from i on that is up.
func (t *Target) balance(i int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := range t.instances {
		if at := (i + n) % len(t.instances); !t.down[at] {
			return at
		}
	}
	return i % len(t.instances)
}

// Setup plans and confirms owners, workspaces, budgets, routes and upstreams,
// and waits until every instance has them in force.
func (t *Target) Setup(ctx context.Context, owners []OwnerSpec, workspaces []WorkspaceSpec) error {
	intents := []nutmegconf.Intent{
		{Kind: nutmegconf.IntentAddRoute, Route: DefaultRoute, RetryPolicy: nutmegconf.RetryProtected},
		{Kind: nutmegconf.IntentAddRoute, Route: DefaultLookUp, RetryPolicy: nutmegconf.RetryRepeatable},
	}
	for _, o := range owners {
		intents = append(intents,
			nutmegconf.Intent{Kind: nutmegconf.IntentAddOwner, Owner: o.Name},
			nutmegconf.Intent{Kind: nutmegconf.IntentAddBudget, Budget: nutmegid.OwnerBudget(o.Name), Tokens: o.Tokens})
	}
	for _, w := range workspaces {
		intents = append(intents,
			nutmegconf.Intent{
				Kind: nutmegconf.IntentAddWorkspace, Workspace: w.Name, Owner: w.Owner, Priority: w.Priority,
				KeyHashes: []string{nutmegconf.HashKey(CallerKey(w.Name))},
			},
			nutmegconf.Intent{Kind: nutmegconf.IntentAddBudget, Budget: nutmegid.WorkspaceBudget(w.Name), Tokens: w.Tokens})
	}
	for _, name := range sortedKeys(t.Upstreams) {
		u := t.Upstreams[name]
		intents = append(intents, nutmegconf.Intent{
			Kind: nutmegconf.IntentAddUpstream, Upstreams: []nutmegid.Upstream{name}, Upstream: &u,
		})
	}
	revision, err := t.Intend(ctx, 0, intents...)
	if err != nil {
		return err
	}
	return t.WaitRevision(ctx, revision)
}

// Intend plans intents at one instance and confirms the plan.
func (t *Target) Intend(ctx context.Context, node int, intents ...nutmegconf.Intent) (nutmegid.Revision, error) {
	plan, err := t.plan(ctx, node, intents)
	if err != nil {
		return 0, err
	}
	return t.confirm(ctx, node, plan.ID)
}

func (t *Target) plan(ctx context.Context, node int, intents []nutmegconf.Intent) (nutmegconf.Plan, error) {
	var plan nutmegconf.Plan
	err := t.operate(ctx, node, http.MethodPost, "/v1/plans", nutmegnode.PlanRequest{Intents: intents}, &plan)
	return plan, err
}

func (t *Target) confirm(ctx context.Context, node int, id nutmegid.PlanID) (nutmegid.Revision, error) {
	var done nutmegnode.Confirmation
	err := t.operate(ctx, node, http.MethodPost, "/v1/plans/"+string(id)+"/confirm", nil, &done)
	return done.Revision, err
}

// Status reads the status of one instance.
func (t *Target) Status(ctx context.Context, node int) (nutmegnode.Status, error) {
	var status nutmegnode.Status
	err := t.operate(ctx, node, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// WaitRevision waits until every instance has the revision in force.
func (t *Target) WaitRevision(ctx context.Context, revision nutmegid.Revision) error {
	for node := range t.Instances() {
		for {
			status, err := t.Status(ctx, node)
			if err != nil {
				return err
			}
			if status.Revision >= revision {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("instance %d has revision %d, not %d: %w", node+1, status.Revision, revision, ctx.Err())
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// operatorError is an operators' call that was answered with a refusal.
type operatorError struct {
	status int
	text   string
}

// Error returns the refusal.
func (e *operatorError) Error() string {
	return e.text
}

// operate calls the operators' API of one instance.
func (t *Target) operate(ctx context.Context, node int, method, path string, body, into any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	address, _ := t.Address(node)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address.Operators+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+t.OperatorKey)
	resp, err := t.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &operatorError{status: resp.StatusCode, text: fmt.Sprintf("%s %s answered %s: %s", method, path, resp.Status, answer)}
	}
	return json.Unmarshal(answer, into)
}

// isRefusal reports whether an operators' call was refused for good.
func isRefusal(err error) bool {
	var refused *operatorError
	return errors.As(err, &refused) && refused.status >= 400 && refused.status < 500 && refused.status != http.StatusConflict
}

// put sends JSON to a stand-in's control path.
func (t *Target) put(ctx context.Context, url string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	return t.do(req, nil)
}

// get reads JSON from a stand-in.
func (t *Target) get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return t.do(req, into)
}

func (t *Target) do(req *http.Request, into any) error {
	resp, err := t.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("stand-in answered %s to %s %s", resp.Status, req.Method, req.URL)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
