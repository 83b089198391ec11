package nutmegpeer

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"

	"google.golang.org/protobuf/proto"
)

// errUnauthenticated rejects messages of another fleet or with a wrong
// authentication code.
var errUnauthenticated = errors.New("message is not authenticated for this fleet; give all instances the same peers.key and instance.fleet")

// errMalformed rejects messages that are incomplete or exceed a limit.
var errMalformed = errors.New("message is damaged or too large; upgrade all instances to the same version")

// signedMessage is a message with an authentication code.
type signedMessage interface {
	proto.Message
	GetMac() []byte
	GetFleet() string
}

// sign returns the authentication code of a message whose own code field is
// empty. The code covers the full name of the message type, so that it is not
// valid for a message of another type.
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

// verify checks the fleet name and the authentication code of a received message.
func verify(key []byte, fleet string, m signedMessage) error {
	if m.GetFleet() != fleet {
		return errUnauthenticated
	}
	got := m.GetMac()
	unsigned := proto.Clone(m)
	clearMac(unsigned)
	want, err := sign(key, unsigned)
	if err != nil {
		return err
	}
	if !hmac.Equal(got, want) {
		return errUnauthenticated
	}
	return nil
}

// clearMac clears the authentication code of a message.
func clearMac(m proto.Message) {
	r := m.ProtoReflect()
	r.Clear(r.Descriptor().Fields().ByName("mac"))
}
