package nutmegroute

import (
	"errors"

	"github.com/tidwall/gjson"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// engineChunk is the part of an event that the sender reads.
type engineChunk struct {
	Texts   int  // choices that carry text
	Ended   bool // a choice has a finish reason
	Aborted bool // a choice was cancelled at the engine
	Counted bool // the engine's own count follows
	Total   nutmegid.Tokens
}

var (
	errNoChunk = errors.New("event is no JSON object of an answer")
	errNoCount = errors.New("event's usage has no total_tokens")
)

// parseChunk reads an event without decoding the whole of it: this runs for
// every token.
func parseChunk(data string) (engineChunk, error) {
	var chunk engineChunk
	if !gjson.Valid(data) {
		return chunk, errNoChunk
	}
	whole := gjson.Parse(data)
	if !whole.IsObject() {
		return chunk, errNoChunk
	}
	var err error
	whole.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "choices":
			err = chunk.addChoices(value)
		case "usage":
			err = chunk.addUsage(value)
		}
		return err == nil
	})
	return chunk, err
}

func (c *engineChunk) addChoices(choices gjson.Result) error {
	if choices.Type == gjson.Null {
		return nil
	}
	if !choices.IsArray() {
		return errNoChunk
	}
	choices.ForEach(func(_, choice gjson.Result) bool {
		choice.ForEach(c.addField)
		return true
	})
	return nil
}

func (c *engineChunk) addField(key, value gjson.Result) bool {
	switch key.Str {
	case "delta":
		if value.Get("content").String() != "" {
			c.Texts++
		}
	case "finish_reason":
		reason := value.String()
		c.Ended = c.Ended || reason != ""
		c.Aborted = c.Aborted || reason == abortReason
	}
	return true
}

func (c *engineChunk) addUsage(usage gjson.Result) error {
	if usage.Type == gjson.Null {
		return nil
	}
	total := usage.Get("total_tokens")
	if total.Type != gjson.Number || total.Int() < 0 {
		return errNoCount
	}
	c.Counted = true
	c.Total = nutmegid.Tokens(total.Int())
	return nil
}
