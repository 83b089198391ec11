package nutmegtrace

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/tmaxmax/go-sse"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
)

// Result is what a caller saw of one request.
type Result struct {
	Request  nutmegid.RequestID `json:"request"`
	Status   int                `json:"status"`
	Complete bool               `json:"whole"` // the whole answer arrived
	Text     string             `json:"text"`
	Kind     string             `json:"kind,omitempty"` // of the refusal
	Ran      nutmegroute.Ran    `json:"run,omitempty"`  // of the refusal
}

// Chat is a caller's chat request.
type Chat struct {
	Workspace nutmegid.Workspace
	Model     nutmegid.Model
	Prompt    string
	MaxTokens nutmegid.Tokens
}

// messages returns the value of the messages field for a prompt.
func messages(prompt string) json.RawMessage {
	raw, err := json.Marshal([]map[string]string{{"role": "user", "content": prompt}})
	if err != nil {
		panic(err) // cannot happen: a map of strings always marshals
	}
	return raw
}

// ExpectedText returns the complete answer that an engine stand-in generates for
// the chat.
func (c Chat) ExpectedText() string {
	var text strings.Builder
	for n := range int64(c.MaxTokens) {
		text.WriteString(nutmegstand.AnswerToken(messages(c.Prompt), n))
	}
	return text.String()
}

// Chat sends a streaming chat request to one instance and reads its answer.
func (f *Fleet) Chat(ctx context.Context, instance int, c Chat) (Result, error) {
	if c.Model == "" {
		c.Model = f.cfg.Model
	}
	body, err := json.Marshal(map[string]any{
		"model": c.Model, "messages": messages(c.Prompt), "max_tokens": c.MaxTokens, "stream": true,
	})
	if err != nil {
		return Result{}, err
	}
	resp, err := f.call(ctx, instance, http.MethodPost, "/v1/chat/completions", c.Workspace, "", body)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	result := Result{Request: nutmegid.RequestID(resp.Header.Get("X-Request-Id")), Status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		err = readRefusal(resp.Body, &result)
		return result, err
	}
	err = readStream(resp.Body, &result)
	return result, err
}

// Order sends an order with an idempotency key to the protected route of one
// instance.
func (f *Fleet) Order(ctx context.Context, instance int, w nutmegid.Workspace, key, body string) (Result, error) {
	resp, err := f.call(ctx, instance, http.MethodPost, "/v1/services/"+string(DefaultRoute)+"/book", w, key, []byte(body))
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	result := Result{Request: nutmegid.RequestID(resp.Header.Get("X-Request-Id")), Status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		err = readRefusal(resp.Body, &result)
		return result, err
	}
	text, err := io.ReadAll(resp.Body)
	result.Text = string(text)
	result.Complete = err == nil
	return result, err
}

func (f *Fleet) call(ctx context.Context, instance int, method, path string, w nutmegid.Workspace, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.Nodes[instance].Addresses().Callers+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+CallerKey(w))
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return f.callerClient.Do(req)
}

func readRefusal(body io.Reader, result *Result) error {
	var refusal struct {
		Error struct {
			Kind string          `json:"kind"`
			Ran  nutmegroute.Ran `json:"run"`
		} `json:"error"`
	}
	if err := json.NewDecoder(body).Decode(&refusal); err != nil {
		return fmt.Errorf("refusal is not valid JSON: %w", err)
	}
	result.Kind = refusal.Error.Kind
	result.Ran = refusal.Error.Ran
	return nil
}

// readStream collects the text of a streamed answer. If the stream breaks, the
// result stays incomplete.
func readStream(body io.Reader, result *Result) error {
	var text strings.Builder
	defer func() { result.Text = text.String() }()
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			return err
		}
		if ev.Data == "[DONE]" {
			result.Complete = true
			return nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(ev.Data), &chunk); err != nil {
			return err
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	return io.ErrUnexpectedEOF
}
