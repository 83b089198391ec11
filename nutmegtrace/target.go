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

// InstanceAddress holds the addresses at which one instance serves callers and
// operators, as "ip:port".
type InstanceAddress struct {
	Callers   string `toml:"callers"`
	Operators string `toml:"operators"`
}

// Target is a fleet that is reached by address: its instances, and the stand-ins
// from whose records a run is evaluated.
type Target struct {
	PlatformURL string
	OperatorKey string
	Upstreams   map[nutmegid.Upstream]nutmegconf.UpstreamConfig
	Model       nutmegid.Model

	client       *http.Client // for operator calls and records
	callerClient *http.Client // for caller requests

	mu        sync.Mutex
	instances []InstanceAddress
	down      []bool
}

// NewTarget returns a target without instances.
func NewTarget(platformURL, key string) *Target {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}}
	return &Target{
		PlatformURL: platformURL, OperatorKey: key, Model: DefaultModel, client: client, callerClient: client,
		Upstreams: make(map[nutmegid.Upstream]nutmegconf.UpstreamConfig),
	}
}

// SetInstance sets the address of instance i and marks it as up.
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

// setDown excludes instance i from load balancing.
func (t *Target) setDown(i int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down[i] = true
}

// Instances returns the number of instances, including those that are down.
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

// nextUp returns the first instance from i on that is up, or i itself if none is.
func (t *Target) nextUp(i int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := range t.instances {
		if at := (i + n) % len(t.instances); !t.down[at] {
			return at
		}
	}
	return i % len(t.instances)
}

// Setup configures owners, workspaces, budgets, routes and upstreams, and waits
// until the configuration is in force at every instance.
func (t *Target) Setup(ctx context.Context, owners []OwnerSpec, workspaces []WorkspaceSpec) error {
	intents := []nutmegconf.Intent{
		{Kind: nutmegconf.IntentAddRoute, Route: DefaultRoute, RetryPolicy: nutmegconf.RetryProtected},
		{Kind: nutmegconf.IntentAddRoute, Route: DefaultLookUpRoute, RetryPolicy: nutmegconf.RetryRepeatable},
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
	revision, err := t.ApplyIntents(ctx, 0, intents...)
	if err != nil {
		return err
	}
	return t.WaitRevision(ctx, revision)
}

// ApplyIntents plans intents at one instance and confirms the plan.
func (t *Target) ApplyIntents(ctx context.Context, instance int, intents ...nutmegconf.Intent) (nutmegid.Revision, error) {
	plan, err := t.plan(ctx, instance, intents)
	if err != nil {
		return 0, err
	}
	return t.confirm(ctx, instance, plan.ID)
}

func (t *Target) plan(ctx context.Context, instance int, intents []nutmegconf.Intent) (nutmegconf.Plan, error) {
	var plan nutmegconf.Plan
	err := t.callOperatorAPI(ctx, instance, http.MethodPost, "/v1/plans", nutmegnode.PlanRequest{Intents: intents}, &plan)
	return plan, err
}

func (t *Target) confirm(ctx context.Context, instance int, id nutmegid.PlanID) (nutmegid.Revision, error) {
	var done nutmegnode.Confirmation
	err := t.callOperatorAPI(ctx, instance, http.MethodPost, "/v1/plans/"+string(id)+"/confirm", nil, &done)
	return done.Revision, err
}

// Status reads the status of one instance.
func (t *Target) Status(ctx context.Context, instance int) (nutmegnode.Status, error) {
	var status nutmegnode.Status
	err := t.callOperatorAPI(ctx, instance, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// WaitRevision waits until the revision is in force at every instance.
func (t *Target) WaitRevision(ctx context.Context, revision nutmegid.Revision) error {
	for instance := range t.Instances() {
		for {
			status, err := t.Status(ctx, instance)
			if err != nil {
				return err
			}
			if status.Revision >= revision {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("instance %d has revision %d in force; waiting for %d: %w", instance+1, status.Revision, revision, ctx.Err())
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// operatorAPIError is a refusal of a call of the operators' API.
type operatorAPIError struct {
	status int
	text   string
}

// Error returns the call and its response.
func (e *operatorAPIError) Error() string {
	return e.text
}

// callOperatorAPI calls the operators' API of one instance.
func (t *Target) callOperatorAPI(ctx context.Context, instance int, method, path string, body, into any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	address, _ := t.Address(instance)
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
		return &operatorAPIError{status: resp.StatusCode, text: fmt.Sprintf("%s %s returned %s: %s", method, path, resp.Status, answer)}
	}
	return json.Unmarshal(answer, into)
}

// isFinalRefusal reports whether a call of the operators' API was refused and a
// retry cannot succeed.
func isFinalRefusal(err error) bool {
	var refused *operatorAPIError
	return errors.As(err, &refused) && refused.status >= 400 && refused.status < 500 && refused.status != http.StatusConflict
}

// put sends JSON to a control endpoint of a stand-in.
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
		return fmt.Errorf("stand-in returned %s for %s %s", resp.Status, req.Method, req.URL)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
