package nutmegledger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// maxBatchItems bounds the arrays and maps that a received batch may hold.
const maxBatchItems = 4 * maxBatchLines

var encoding = mustEncoding(cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode())

var decoding = mustDecoding(cbor.DecOptions{MaxArrayElements: maxBatchItems, MaxMapPairs: maxBatchItems}.DecMode())

func mustEncoding(mode cbor.EncMode, err error) cbor.EncMode {
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoding(mode cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeBatch returns the form of a batch between instances: CBOR with numbers
// for field names, which takes half the bytes of JSON. Times keep microseconds.
func EncodeBatch(b Batch) ([]byte, error) {
	return encoding.Marshal(b)
}

// DecodeBatch reads what EncodeBatch wrote.
func DecodeBatch(raw []byte) (Batch, error) {
	var b Batch
	if err := decoding.Unmarshal(raw, &b); err != nil {
		return b, fmt.Errorf("batch of ledger lines is unreadable; upgrade all instances to the same version: %w", err)
	}
	return b, nil
}
