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

// Place names one answer: the request it belongs to, who is billed for it, what
// was reserved, and the engine's stream that holds it.
type Place struct {
	Request   nutmegid.RequestID `json:"request"`
	Workspace nutmegid.Workspace `json:"workspace"`
	Owner     nutmegid.Owner     `json:"owner"`
	Model     nutmegid.Model     `json:"model"`
	Upstream  nutmegid.Upstream  `json:"upstream"`
	Stream    string             `json:"stream"`
	Bound     nutmegid.Tokens    `json:"bound"`      // reserved for prompt and answer
	MaxAnswer nutmegid.Tokens    `json:"max_answer"` // tokens that the answer may have
}

// Offset counts the events of an answer; the first event has offset 1.
type Offset uint64

// PlaceErrorKind tells what is wrong with an event id.
type PlaceErrorKind string

// The kinds of place errors.
const (
	PlaceForged  PlaceErrorKind = "bad_event_id"
	PlaceForeign PlaceErrorKind = "foreign_event_id"
)

// PlaceError is an event id that gives no access to an answer.
type PlaceError struct {
	Kind PlaceErrorKind
}

// Error names the remedy.
func (e *PlaceError) Error() string {
	if e.Kind == PlaceForeign {
		return "the event id belongs to another workspace; use the key of the workspace that sent the request"
	}
	return "the event id was not given out by this fleet; send the id of the last event that arrived, unchanged"
}

// Signer makes and checks event ids. All instances of a fleet share its key.
type Signer struct {
	key []byte
}

// NewSigner derives the signing key from the fleet's key.
func NewSigner(fleetKey []byte) *Signer {
	mac := hmac.New(sha256.New, fleetKey)
	mac.Write([]byte(eventIDPurpose))
	return &Signer{key: mac.Sum(nil)}
}

// IDWriter gives the event ids of one answer. It is not safe for concurrent use.
type IDWriter struct {
	mac  hash.Hash
	base string
	sum  []byte // of base, so that each event signs only this and its offset
	mark []byte // reused
}

// Writer returns the writer of a place's event ids.
func (s *Signer) Writer(p Place) (*IDWriter, error) {
	raw, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("place of request %q: %w", p.Request, err)
	}
	return s.writer(base64.RawURLEncoding.EncodeToString(raw)), nil
}

func (s *Signer) writer(base string) *IDWriter {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(base))
	return &IDWriter{mac: mac, base: base + ".", sum: mac.Sum(nil)}
}

// ID returns the id of the event at an offset.
func (w *IDWriter) ID(offset Offset) string {
	return string(w.AppendID(nil, offset))
}

// AppendID appends the id of the event at an offset.
func (w *IDWriter) AppendID(buf []byte, offset Offset) []byte {
	buf = append(buf, w.base...)
	at := len(buf)
	buf = strconv.AppendUint(buf, uint64(offset), 10)
	w.mac.Reset()
	w.mac.Write(w.sum)
	w.mac.Write(buf[at:])
	w.mark = w.mac.Sum(w.mark[:0])
	buf = append(buf, '.')
	return base64.RawURLEncoding.AppendEncode(buf, w.mark[:signatureBytes])
}

// Open checks an event id for a workspace and returns the place and offset that
// it names. Errors are of type *PlaceError.
func (s *Signer) Open(id string, workspace nutmegid.Workspace) (Place, Offset, error) {
	forged := &PlaceError{Kind: PlaceForged}
	if len(id) > maxEventIDBytes {
		return Place{}, 0, forged
	}
	parts := strings.Split(id, ".")
	if len(parts) != 3 {
		return Place{}, 0, forged
	}
	base, number := parts[0], parts[1]
	offset, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return Place{}, 0, forged
	}
	if !hmac.Equal([]byte(s.writer(base).ID(Offset(offset))), []byte(id)) {
		return Place{}, 0, forged
	}
	raw, err := base64.RawURLEncoding.DecodeString(base)
	if err != nil {
		return Place{}, 0, forged
	}
	var p Place
	if err := json.Unmarshal(raw, &p); err != nil {
		return Place{}, 0, forged
	}
	if p.Workspace != workspace {
		return Place{}, 0, &PlaceError{Kind: PlaceForeign}
	}
	return p, Offset(offset), nil
}
