package nutmegnode

import (
	"encoding/json"
	"testing"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// FuzzParseChat checks that the body sent to an engine requests a single answer of
// at most MaxAnswer tokens, and that the reservation covers prompt and answer.
func FuzzParseChat(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"cut list"}],"max_tokens":5,"stream":true}`,
		`{"model":"m","messages":[{"content":[{"type":"text","text":"<&>"}]}],"max_completion_tokens":7}`,
		`{"model":"m","messages":[{"content":"x"}],"n":1,"tools":[{"type":"function"}]}`,
		`{"model":"m","messages":[{"content":"x"}],"max_tokens":1e3}`,
		`{"model":"m","messages":[{"content":"x"}],"max_tokens":1,"max_tokens":9}`,
		`{"messages":null}`, `[]`, `{`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, _, err := newChat(&request{body: body, caller: nutmegconf.Caller{Workspace: "rack"}})
		if err != nil {
			if e := apiError(err); e.Ran != "no" || e.Status >= 500 {
				t.Fatalf("refusal %+v; want a client error that did not run", e)
			}
			return
		}
		var sent struct {
			Messages  json.RawMessage `json:"messages"`
			Tools     json.RawMessage `json:"tools"`
			MaxTokens nutmegid.Tokens `json:"max_tokens"`
			N         *int            `json:"n"`
		}
		if err := json.Unmarshal(chat.Body, &sent); err != nil {
			t.Fatalf("body to the engine %q: %v", chat.Body, err)
		}
		if sent.N != nil && *sent.N != 1 {
			t.Errorf("engine body has n = %d, want 1", *sent.N)
		}
		if sent.MaxTokens <= 0 || sent.MaxTokens != chat.MaxAnswer {
			t.Errorf("engine body has max_tokens = %d, want %d", sent.MaxTokens, chat.MaxAnswer)
		}
		if most := nutmegid.Tokens(len(sent.Messages)+len(sent.Tools)) + sent.MaxTokens; most > chat.ReservedTokens {
			t.Errorf("engine may use %d tokens, but only %d are reserved", most, chat.ReservedTokens)
		}
	})
}
