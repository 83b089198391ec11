package nutmegpeer

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"

	"google.golang.org/protobuf/proto"
)

// errForeign refuses messages that do not carry the fleet's authentication code.
var errForeign = errors.New("message is not authenticated for this fleet; give all instances the same peers.key and instance.fleet")

// errDamaged refuses messages that are incomplete or over their bounds.
var errDamaged = errors.New("message is damaged or too large; upgrade all instances to the same version")

// signed is a message with an authentication code.
type signed interface {
	proto.Message
	GetMac() []byte
	GetFleet() string
}

// sign returns the authentication code of a message whose code field is empty.
func sign(key []byte, m proto.Message) ([]byte, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, err
	}
	h := hmac.New(sha256.New, key)
	_, _ = h.Write([]byte(m.ProtoReflect().Descriptor().FullName()))
	_, _ = h.Write(raw)
	return h.Sum(nil), nil
}

// verify checks the fleet and the authentication code of a received message.
func verify(key []byte, fleet string, m signed) error {
	if m.GetFleet() != fleet {
		return errForeign
	}
	got := m.GetMac()
	bare := proto.Clone(m)
	clearMac(bare)
	want, err := sign(key, bare)
	if err != nil {
		return err
	}
	if !hmac.Equal(got, want) {
		return errForeign
	}
	return nil
}

// clearMac empties the authentication code of any message.
func clearMac(m proto.Message) {
	r := m.ProtoReflect()
	r.Clear(r.Descriptor().Fields().ByName("mac"))
}
