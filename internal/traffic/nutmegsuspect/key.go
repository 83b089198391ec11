package nutmegsuspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
)

const keyBytes = 16 // of a hash

// Key identifies what several requests have in common, without revealing it.
type Key string

// ContentKey returns the key of all requests with the caller, the target and the
// body of a call.
func ContentKey(c *nutmegcall.Call) Key {
	return hashKey([]byte("content"), []byte(c.Workspace), []byte(c.Method), []byte(c.Host), []byte(c.Target), c.Body)
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
	return Key(hex.EncodeToString(h.Sum(nil)[:keyBytes]))
}
