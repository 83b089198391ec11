package nutmegroute

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"hash"
	"strconv"
	"strings"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// StreamRef identifies an answer: its request, the workspace and owner that are billed, the
// reservation, and the engine's stream that produces it.
type StreamRef struct {
	Request        nutmegid.RequestID `json:"request"`
	Workspace      nutmegid.Workspace `json:"workspace"`
	Owner          nutmegid.Owner     `json:"owner"`
	Model          nutmegid.Model     `json:"model"`
	Upstream       nutmegid.Upstream  `json:"upstream"`
	Stream         string             `json:"stream"`
	ReservedTokens nutmegid.Tokens    `json:"bound"`      // tokens reserved for prompt and answer
	MaxAnswer      nutmegid.Tokens    `json:"max_answer"` // maximum length of the answer
}

// Offset is the position of an event in an answer; the first event has offset 1.
type Offset uint64

// EventIDErrorKind says why an event id was rejected.
type EventIDErrorKind string

// The kinds of rejected event ids.
const (
	EventIDForged  EventIDErrorKind = "bad_event_id"
	EventIDForeign EventIDErrorKind = "foreign_event_id"
)

// EventIDError reports an event id that gives no access to an answer.
type EventIDError struct {
	Kind EventIDErrorKind
}

// Error explains the rejection and the remedy.
func (e *EventIDError) Error() string {
	if e.Kind == EventIDForeign {
		return "the event id belongs to another workspace; use the key of the workspace that sent the request"
	}
	return "the event id was not given out by this fleet; send the id of the last event that arrived, unchanged"
}

// Signer creates and verifies event ids. All instances of a fleet share its key.
type Signer struct {
	key []byte
}

// NewSigner derives the signing key from the fleet key.
func NewSigner(fleetKey []byte) *Signer {
	mac := hmac.New(sha256.New, fleetKey)
	mac.Write([]byte(eventIDPurpose))
	return &Signer{key: mac.Sum(nil)}
}

// EventIDWriter creates the event ids of one answer. It is not safe for concurrent use.
type EventIDWriter struct {
	mac    hash.Hash
	base   string
	sum    []byte // MAC of base, so that only this and the offset are signed per event
	macBuf []byte // reused buffer
}

// Writer returns a writer for the event ids of an answer.
func (s *Signer) Writer(ref StreamRef) (*EventIDWriter, error) {
	raw, err := json.Marshal(ref)
	if err != nil {
		return nil, fmt.Errorf("encode event id of request %q: %w", ref.Request, err)
	}
	return s.writer(base64.RawURLEncoding.EncodeToString(raw)), nil
}

func (s *Signer) writer(base string) *EventIDWriter {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(base))
	return &EventIDWriter{mac: mac, base: base + ".", sum: mac.Sum(nil)}
}

// ID returns the id of the event at an offset.
func (w *EventIDWriter) ID(offset Offset) string {
	return string(w.AppendID(nil, offset))
}

// AppendID appends the id of the event at an offset to buf.
func (w *EventIDWriter) AppendID(buf []byte, offset Offset) []byte {
	buf = append(buf, w.base...)
	at := len(buf)
	buf = strconv.AppendUint(buf, uint64(offset), 10)
	w.mac.Reset()
	w.mac.Write(w.sum)
	w.mac.Write(buf[at:])
	w.macBuf = w.mac.Sum(w.macBuf[:0])
	buf = append(buf, '.')
	return base64.RawURLEncoding.AppendEncode(buf, w.macBuf[:signatureBytes])
}

// Open verifies an event id for a workspace and returns the stream and offset that it encodes.
// Errors are of type *EventIDError.
func (s *Signer) Open(id string, workspace nutmegid.Workspace) (StreamRef, Offset, error) {
	forged := &EventIDError{Kind: EventIDForged}
	if len(id) > maxEventIDBytes {
		return StreamRef{}, 0, forged
	}
	parts := strings.Split(id, ".")
	if len(parts) != 3 {
		return StreamRef{}, 0, forged
	}
	base, number := parts[0], parts[1]
	offset, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return StreamRef{}, 0, forged
	}
	if !hmac.Equal([]byte(s.writer(base).ID(Offset(offset))), []byte(id)) {
		return StreamRef{}, 0, forged
	}
	raw, err := base64.RawURLEncoding.DecodeString(base)
	if err != nil {
		return StreamRef{}, 0, forged
	}
	var ref StreamRef
	if err := json.Unmarshal(raw, &ref); err != nil {
		return StreamRef{}, 0, forged
	}
	if ref.Workspace != workspace {
		return StreamRef{}, 0, &EventIDError{Kind: EventIDForeign}
	}
	return ref, Offset(offset), nil
}
