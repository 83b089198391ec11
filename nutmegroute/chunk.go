package nutmegroute

import (
	"errors"

	"github.com/tidwall/gjson"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// engineChunk holds the fields of an event that the stream reader needs.
type engineChunk struct {
	Texts   int  // choices with text
	Ended   bool // a choice has a finish reason
	Aborted bool // a choice was cancelled at the engine
	Counted bool // the event has the engine's token count
	Total   nutmegid.Tokens
}

var (
	errInvalidChunk = errors.New("event is not a valid answer chunk")
	errInvalidUsage = errors.New("usage in event has no valid total_tokens")
)

// parseChunk extracts the fields without decoding the whole event, because it runs for every
// token.
func parseChunk(data string) (engineChunk, error) {
	var chunk engineChunk
	if !gjson.Valid(data) {
		return chunk, errInvalidChunk
	}
	event := gjson.Parse(data)
	if !event.IsObject() {
		return chunk, errInvalidChunk
	}
	var err error
	event.ForEach(func(key, value gjson.Result) bool {
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
		return errInvalidChunk
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
		return errInvalidUsage
	}
	c.Counted = true
	c.Total = nutmegid.Tokens(total.Int())
	return nil
}
