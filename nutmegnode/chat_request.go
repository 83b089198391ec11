package nutmegnode

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
)

// chatRequest holds the fields of a chat completion request that the instance
// interprets.
type chatRequest struct {
	Model               nutmegid.Model  `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           nutmegid.Tokens `json:"max_tokens"`
	MaxCompletionTokens nutmegid.Tokens `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Stream              bool            `json:"stream"`
	LogProbs            bool            `json:"logprobs"`
}

// chatMessage holds the part of a message that bounds the prompt.
type chatMessage struct {
	Content json.RawMessage `json:"content"`
}

// chatFields are the fields allowed in a chat request. They must not include one
// that could make an engine generate more than max_tokens.
var chatFields = map[string]bool{
	"model": true, "messages": true, "max_tokens": true, "max_completion_tokens": true, "stream": true,
	"stream_options": true, "n": true, "temperature": true, "top_p": true, "top_k": true, "min_p": true,
	"stop": true, "seed": true, "user": true, "metadata": true, "tools": true, "tool_choice": true,
	"parallel_tool_calls": true, "response_format": true, "logit_bias": true, "logprobs": true,
	"top_logprobs": true, "presence_penalty": true, "frequency_penalty": true, "reasoning_effort": true,
}

func badBody(format string, args ...any) error {
	return refusal(http.StatusBadRequest, "bad_body", fmt.Sprintf(format, args...))
}

// parseChat parses and validates the body of a chat request. It also returns the
// body's raw fields.
func parseChat(body []byte) (chatRequest, map[string]json.RawMessage, error) {
	var parsed chatRequest
	fields, err := objectFields(body)
	if err != nil {
		return parsed, nil, err
	}
	for name := range fields {
		if !chatFields[name] {
			return parsed, nil, refusal(http.StatusBadRequest, "unknown_field", fmt.Sprintf("field %q is not supported; leave it out", name))
		}
	}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return parsed, nil, badBody("the body is no chat request: %v", err)
	}
	return parsed, fields, parsed.check()
}

// objectFields splits a JSON object into its fields. Data after the object is an
// error.
func objectFields(body []byte) (map[string]json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	var fields map[string]json.RawMessage
	if err := decoder.Decode(&fields); err != nil || fields == nil {
		return nil, badBody("the body is no JSON object; send one chat request")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, badBody("the body goes on after its JSON object; send one chat request")
	}
	return fields, nil
}

func (c chatRequest) check() error {
	if c.Model == "" || len(c.Messages) == 0 {
		return badBody("the body needs model and messages")
	}
	if c.MaxTokens < 0 || c.MaxCompletionTokens < 0 {
		return badBody("max_tokens is negative; give a positive number")
	}
	if c.MaxTokens > maxAnswerTokens || c.MaxCompletionTokens > maxAnswerTokens {
		return badBody("max_tokens is over %d; ask for less", maxAnswerTokens)
	}
	if c.MaxTokens > 0 && c.MaxCompletionTokens > 0 && c.MaxTokens != c.MaxCompletionTokens {
		return badBody("max_tokens and max_completion_tokens differ; send one of them")
	}
	if c.N != nil && *c.N != 1 {
		return badBody("n is %d; send one request for each answer", *c.N)
	}
	if c.LogProbs && !c.Stream {
		return badBody("logprobs are only given with stream; set stream to true")
	}
	for i, m := range c.Messages {
		if err := m.check(); err != nil {
			return badBody("message %d: %v", i+1, err)
		}
	}
	return nil
}

// check rejects content other than text, because the number of its tokens is not
// bounded by its size in bytes.
func (m chatMessage) check() error {
	var parts []struct {
		Type string `json:"type"`
	}
	if !strings.HasPrefix(string(m.Content), "[") {
		return nil
	}
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return fmt.Errorf("content is no list of parts: %w", err)
	}
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("content of type %q is not supported; send text", p.Type)
		}
	}
	return nil
}

func (c chatRequest) maxAnswer() nutmegid.Tokens {
	if asked := max(c.MaxTokens, c.MaxCompletionTokens); asked > 0 {
		return asked
	}
	return defaultMaxTokens
}

// promptFields are the fields whose text engines include in the prompt.
var promptFields = []string{"messages", "tools", "tool_choice", "response_format"}

// promptBound returns an upper bound of the prompt's tokens: one per byte.
func promptBound(fields map[string]json.RawMessage) nutmegid.Tokens {
	bound := nutmegid.Tokens(promptOverheadTokens)
	for _, name := range promptFields {
		bound += nutmegid.Tokens(len(fields[name]))
	}
	return bound
}

// newChat validates the request's body and computes the number of tokens to
// reserve.
func newChat(r *request) (nutmegroute.Chat, chatRequest, error) {
	parsed, fields, err := parseChat(r.body)
	if err != nil {
		return nutmegroute.Chat{}, parsed, err
	}
	body, err := engineBody(fields, parsed.maxAnswer())
	if err != nil {
		return nutmegroute.Chat{}, parsed, err
	}
	return nutmegroute.Chat{
		Request:        r.id,
		Workspace:      r.caller.Workspace,
		Owner:          r.caller.Owner,
		Model:          parsed.Model,
		Body:           body,
		ReservedTokens: promptBound(fields) + parsed.maxAnswer(),
		MaxAnswer:      parsed.maxAnswer(),
		Priority:       priorityLevel(r.caller.Priority),

		PromptTokens: estimatePromptTokens(fields["messages"]),
		Prefix:       nutmegroute.PrefixBlocks(fields["messages"]),
	}, parsed, nil
}

// engineBody returns the caller's body with streaming, usage reporting and
// max_tokens set. The prompt fields must not become longer than the caller sent
// them, so that promptBound holds; therefore HTML is not escaped.
func engineBody(fields map[string]json.RawMessage, maxAnswer nutmegid.Tokens) ([]byte, error) {
	delete(fields, "max_completion_tokens")
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["max_tokens"] = json.RawMessage(fmt.Sprint(maxAnswer))
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(fields)
	return body.Bytes(), err
}
