package nutmegsuspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
)

// Key identifies what several requests have in common, without revealing it. It
// is a truncated hash.
type Key [16]byte

// ContentKey returns the key of all requests with the caller, the target and the
// body of a call.
func ContentKey(c *nutmegcall.Call) Key {
	return hashKey([]byte("content"), []byte(c.Workspace), []byte(c.Method), []byte(c.Host), []byte(c.Target), c.Body)
}

// PartKeys returns a key for each part of a call's prompt that other prompts may
// share: all but the last.
func PartKeys(c *nutmegcall.Call) []Key {
	parts := c.Prompt.Parts
	if len(parts) < 2 {
		return nil
	}
	keys := make([]Key, 0, len(parts)-1)
	for _, part := range parts[:len(parts)-1] {
		keys = append(keys, hashKey([]byte("part"), []byte(c.Service), []byte(part.ID)))
	}
	return keys
}

// hashKey returns the key of a list of fields.
func hashKey(fields ...[]byte) Key {
	h := sha256.New()
	var size [8]byte
	for _, field := range fields {
		// The length separates a field from the next one.
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(field)
	}
	return Key(h.Sum(nil)[:len(Key{})])
}

// String returns the key in hexadecimal, as in logs and messages.
func (k Key) String() string {
	return hex.EncodeToString(k[:])
}

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) {
	return []byte(k.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(k) {
		return fmt.Errorf("key %q is not %d bytes in hexadecimal", text, len(k))
	}
	*k = Key(raw)
	return nil
}
