package nutmegtrace

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
)

func smallBodyLimits(s *nutmegconf.Settings) {
	s.Limits.MaxBodyBytes = 4096
	s.Limits.MaxHeaderBytes = 4096
}

// endlessBody is a chunked request body that never ends.
type endlessBody struct{}

func (endlessBody) Read(b []byte) (int, error) {
	return copy(b, bytes.Repeat([]byte{' '}, len(b))), nil
}

func TestBadInputRunsAndBillsNothing(t *testing.T) {
	const chat = "/v1/chat/completions"
	f := setUpFleet(t, FleetConfig{Instances: 1, Engines: 1, Services: 1, Adjust: smallBodyLimits})
	tests := map[string]struct {
		method, path, body string
		header             http.Header
		endless            bool
		want               string
	}{
		"no JSON":               {path: chat, body: `{"model"`, want: "bad_body"},
		"a list":                {path: chat, body: `[1]`, want: "bad_body"},
		"null":                  {path: chat, body: `null`, want: "bad_body"},
		"two objects":           {path: chat, body: `{"model":"drafter","messages":[{"content":"x"}]}{}`, want: "bad_body"},
		"no messages":           {path: chat, body: `{"model":"drafter","messages":[]}`, want: "bad_body"},
		"unknown field":         {path: chat, body: `{"model":"drafter","messages":[{"content":"x"}],"best_of":5}`, want: "unknown_field"},
		"field in another case": {path: chat, body: `{"model":"drafter","messages":[{"content":"x"}],"Max_Tokens":5}`, want: "unknown_field"},
		"several answers":       {path: chat, body: `{"model":"drafter","messages":[{"content":"x"}],"n":4}`, want: "bad_body"},
		"negative maximum":      {path: chat, body: `{"model":"drafter","messages":[{"content":"x"}],"max_tokens":-1}`, want: "bad_body"},
		"huge maximum":          {path: chat, body: `{"model":"drafter","messages":[{"content":"x"}],"max_tokens":9000000000}`, want: "bad_body"},
		"two maxima":            {path: chat, body: `{"model":"drafter","messages":[{"content":"x"}],"max_tokens":1,"max_completion_tokens":2}`, want: "bad_body"},
		"an image":              {path: chat, body: `{"model":"drafter","messages":[{"content":[{"type":"image_url"}]}]}`, want: "bad_body"},
		"unknown model":         {path: chat, body: `{"model":"nobody","messages":[{"content":"x"}],"max_tokens":1}`, want: "no_upstream"},
		"oversized":             {path: chat, body: strings.Repeat(" ", 5000), want: "body_too_large"},
		"endless":               {path: chat, endless: true, want: "body_too_large"},
		"unknown route":         {path: "/v1/services/nowhere/x", want: "unknown_route"},
		"order without a key":   {path: "/v1/services/orders/book", body: "{}", want: "no_order_key"},
		"long key":              {path: "/v1/services/orders/book", header: http.Header{"Idempotency-Key": {strings.Repeat("k", 300)}}, want: "bad_key"},
		"passed deadline":       {path: "/v1/services/stock/x", header: http.Header{"X-Deadline": {"2020-01-02T15:04:05Z"}}, want: "deadline_passed"},
		"bad deadline":          {path: "/v1/services/stock/x", header: http.Header{"X-Deadline": {"soon"}}, want: "bad_deadline"},
		"no event id":           {method: http.MethodGet, path: chat + "/stream", want: "no_event_id"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &testCaller{fleet: f, workspace: "rack"}
			method := tt.method
			if method == "" {
				method = http.MethodPost
			}
			resp, err := c.open(testContext(t), 0, method, tt.path, tt.header, []byte(tt.body))
			if tt.endless {
				resp, err = f.sendEndless(testContext(t), tt.path)
			}
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			checkRefusal(t, resp.Body, tt.want)
		})
	}
	f.checkNothingRan(t)
}

func (f *Fleet) sendEndless(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Nodes[0].Addresses().Callers+path, io.NopCloser(endlessBody{}))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+CallerKey("rack"))
	return f.callerClient.Do(req)
}

func (f *Fleet) checkNothingRan(t *testing.T) {
	t.Helper()
	if runs, calls := f.runs(), f.Services[0].Calls(); len(runs) > 0 || len(calls) > 0 {
		t.Errorf("engines ran %d requests, services %d; want none", len(runs), len(calls))
	}
	lines, err := f.LedgerLines(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	if len(lines) > 0 {
		t.Errorf("ledger has %d lines; want none", len(lines))
	}
}

func TestOversizedHeadersAreRefused(t *testing.T) {
	f := setUpFleet(t, FleetConfig{Instances: 1, Engines: 1, Services: 1, Adjust: smallBodyLimits})
	c := &testCaller{fleet: f, workspace: "rack"}
	header := http.Header{"X-Filler": {strings.Repeat("x", 64<<10)}}
	resp, err := c.open(testContext(t), 0, http.MethodPost, "/v1/services/orders/book", header, nil)
	if err == nil {
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("status %d; want %d", resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
		}
	}
	f.checkNothingRan(t)
}
