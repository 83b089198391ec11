// Package nutmegevent splits a stream of server-sent events into whole events,
// without decoding them.
//
// # Usage
//
//	var s nutmegevent.Splitter
//	whole := s.Add(chunk) // the bytes of all events that have ended
//	// s.Events and s.LastID tell how far the stream has come
package nutmegevent

import (
	"bytes"
)

// Splitter gathers the bytes of a stream and gives out whole events.
type Splitter struct {
	// Events counts the whole events that carried data.
	Events int64
	// LastID is the id of the last whole event that had one.
	LastID string

	held []byte // of the event that has not ended
}

var (
	idField   = []byte("id:")
	dataField = []byte("data")
)

// Add takes the next bytes of the stream and returns the whole events that end
// in them, with what was held of the first. The result is valid until the next call.
func (s *Splitter) Add(chunk []byte) []byte {
	s.held = append(s.held, chunk...)
	end := s.scan()
	whole := s.held[:end]
	s.held = s.held[end:]
	return whole
}

// Held returns the bytes of the event that has not ended.
func (s *Splitter) Held() []byte {
	return s.held
}

// Reset forgets the event that has not ended.
func (s *Splitter) Reset() {
	s.held = nil
}

// scan notes each whole event and returns where the last one ends.
func (s *Splitter) scan() int {
	end := 0
	for {
		size := eventSize(s.held[end:])
		if size == 0 {
			return end
		}
		s.note(s.held[end : end+size])
		end += size
	}
}

// eventSize returns the length of the first event with its blank line, 0 where
// it has not ended.
func eventSize(b []byte) int {
	at := 0
	for {
		newline := bytes.IndexByte(b[at:], '\n')
		if newline < 0 {
			return 0
		}
		line := bytes.TrimSuffix(b[at:at+newline], []byte("\r"))
		at += newline + 1
		if len(line) == 0 {
			return at
		}
	}
}

// note takes the id of an event and counts it where it carries data.
func (s *Splitter) note(event []byte) {
	hasData := false
	for len(event) > 0 {
		line := event
		if newline := bytes.IndexByte(event, '\n'); newline >= 0 {
			line, event = event[:newline], event[newline+1:]
		} else {
			event = nil
		}
		if value, ok := bytes.CutPrefix(line, idField); ok {
			s.LastID = string(bytes.TrimSpace(value))
		}
		hasData = hasData || bytes.HasPrefix(line, dataField)
	}
	if hasData {
		s.Events++
	}
}
