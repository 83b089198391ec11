// Package nutmegevent splits a stream of server-sent events into complete
// events, without decoding them.
//
// # Usage
//
//	var s nutmegevent.Splitter
//	events := s.Add(chunk) // the bytes of the events completed by chunk
//	// s.Events and s.LastID give the position in the stream
package nutmegevent

import (
	"bytes"
)

// Splitter buffers the bytes of a stream and returns complete events. The zero
// value is ready to use.
type Splitter struct {
	// Events counts the complete events that had a data field.
	Events int64
	// LastID is the ID of the last complete event that had one.
	LastID string

	pending []byte // bytes of the incomplete event
}

var (
	idField   = []byte("id:")
	dataField = []byte("data")
)

// Add appends a chunk of the stream and returns the bytes of all events that it
// completes, including those buffered before. The result is valid until the next
// call.
func (s *Splitter) Add(chunk []byte) []byte {
	s.pending = append(s.pending, chunk...)
	end := s.scan()
	complete := s.pending[:end]
	s.pending = s.pending[end:]
	return complete
}

// Pending returns the bytes of the incomplete event.
func (s *Splitter) Pending() []byte {
	return s.pending
}

// Reset discards the incomplete event.
func (s *Splitter) Reset() {
	s.pending = nil
}

// scan records each complete event and returns the offset after the last one.
func (s *Splitter) scan() int {
	end := 0
	for {
		size := eventSize(s.pending[end:])
		if size == 0 {
			return end
		}
		s.record(s.pending[end : end+size])
		end += size
	}
}

// eventSize returns the length of the first event including its blank line, or 0
// if the event is incomplete.
func eventSize(b []byte) int {
	offset := 0
	for {
		newline := bytes.IndexByte(b[offset:], '\n')
		if newline < 0 {
			return 0
		}
		line := bytes.TrimSuffix(b[offset:offset+newline], []byte("\r"))
		offset += newline + 1
		if len(line) == 0 {
			return offset
		}
	}
}

// record stores the ID of a complete event and counts it if it has data.
func (s *Splitter) record(event []byte) {
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
