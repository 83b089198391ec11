package nutmegnode

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/nutmegwind/nutmegwind/nutmegroute"
)

// answerWriter writes an answer to one caller, either as server-sent events or
// collected into a single JSON body.
type answerWriter struct {
	w         http.ResponseWriter
	signer    *nutmegroute.Signer
	stream    bool
	started   bool
	offset    nutmegroute.Offset // of the last event written
	ids       *nutmegroute.EventIDWriter
	ref       nutmegroute.StreamRef
	collected completion
	buffer    bytes.Buffer
}

func (n *Node) newAnswerWriter(w http.ResponseWriter, stream bool, after nutmegroute.Offset) *answerWriter {
	return &answerWriter{w: w, signer: n.signer, stream: stream, offset: after}
}

// writeEvents writes the next events of the stream that ref names, or collects
// them.
func (a *answerWriter) writeEvents(ref nutmegroute.StreamRef, events []nutmegroute.Event) error {
	if !a.stream {
		return a.collect(events)
	}
	if err := a.startStream(ref); err != nil {
		return err
	}
	a.buffer.Reset()
	for _, e := range events {
		a.buffer.WriteString("id: ")
		a.buffer.Write(a.ids.AppendID(a.buffer.AvailableBuffer(), e.Offset))
		a.buffer.WriteString("\ndata: ")
		a.buffer.Write(e.Data)
		a.buffer.WriteString("\n\n")
	}
	if err := a.flush(); err != nil {
		return err
	}
	a.offset = events[len(events)-1].Offset
	return nil
}

// startStream sets the headers on the first call and prepares the event IDs for
// a new stream.
func (a *answerWriter) startStream(ref nutmegroute.StreamRef) error {
	if !a.started {
		a.started = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
	}
	if a.ids != nil && a.ref == ref {
		return nil
	}
	var err error
	a.ref = ref
	a.ids, err = a.signer.Writer(ref)
	return err
}

func (a *answerWriter) flush() error {
	if _, err := a.w.Write(a.buffer.Bytes()); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

func (a *answerWriter) collect(events []nutmegroute.Event) error {
	for _, e := range events {
		if err := a.collected.add(e.Data); err != nil {
			return err
		}
	}
	a.offset = events[len(events)-1].Offset
	return nil
}

// finish ends the answer. An error before the first event is returned, so that
// the caller gets it as a normal error response. A later error is written as an
// error event, and the [DONE] marker is omitted.
func (a *answerWriter) finish(err error) error {
	if err != nil && !a.started {
		return err
	}
	if err != nil {
		return a.writeErrorEvent(err)
	}
	if !a.stream {
		writeJSON(a.w, http.StatusOK, a.collected.body())
		return nil
	}
	if err := a.startStream(a.ref); err != nil {
		return err
	}
	a.buffer.Reset()
	a.buffer.WriteString("data: [DONE]\n\n")
	_ = a.flush()
	return nil
}

func (a *answerWriter) writeErrorEvent(err error) error {
	data, marshalErr := json.Marshal(errorBody{Error: apiError(err)})
	if marshalErr != nil {
		return marshalErr
	}
	a.buffer.Reset()
	a.buffer.WriteString("event: error\ndata: ")
	a.buffer.Write(data)
	a.buffer.WriteString("\n\n")
	_ = a.flush()
	return nil
}

// completion collects the events of an answer into one chat completion.
type completion struct {
	id           string
	model        string
	created      int64
	text         strings.Builder
	refusal      strings.Builder
	toolCalls    []toolCall
	finishReason string
	usage        json.RawMessage
}

// toolCall is one tool call. In a stream its arguments arrive in fragments.
type toolCall struct {
	Index    int    `json:"index"`
	ID       string `json:"id,omitempty"`
	Type     string `json:"type,omitempty"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// completionChunk is the data of one event of a streamed answer.
type completionChunk struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Created int64  `json:"created"`
	Choices []struct {
		Delta struct {
			Content   string     `json:"content"`
			Refusal   string     `json:"refusal"`
			ToolCalls []toolCall `json:"tool_calls"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

func (c *completion) add(data []byte) error {
	var chunk completionChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	c.id, c.model, c.created = chunk.ID, chunk.Model, chunk.Created
	for _, choice := range chunk.Choices {
		c.text.WriteString(choice.Delta.Content)
		c.refusal.WriteString(choice.Delta.Refusal)
		for _, call := range choice.Delta.ToolCalls {
			c.addToolCall(call)
		}
		if choice.FinishReason != "" {
			c.finishReason = choice.FinishReason
		}
	}
	if len(chunk.Usage) > 0 && string(chunk.Usage) != "null" {
		c.usage = chunk.Usage
	}
	return nil
}

func (c *completion) addToolCall(part toolCall) {
	for i := range c.toolCalls {
		if c.toolCalls[i].Index == part.Index {
			c.toolCalls[i].Function.Name += part.Function.Name
			c.toolCalls[i].Function.Arguments += part.Function.Arguments
			return
		}
	}
	c.toolCalls = append(c.toolCalls, part)
}

// completionBody is the response to a chat completion request without streaming.
type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created,omitempty"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	Refusal   string     `json:"refusal,omitempty"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

func (c *completion) body() completionBody {
	return completionBody{
		ID: c.id, Object: "chat.completion", Created: c.created, Model: c.model, Usage: c.usage,
		Choices: []completionChoice{{
			Message: completionMessage{
				Role: "assistant", Content: c.text.String(), Refusal: c.refusal.String(), ToolCalls: c.toolCalls,
			},
			FinishReason: c.finishReason,
		}},
	}
}
