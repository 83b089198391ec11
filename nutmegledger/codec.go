package nutmegledger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// maxBatchItems limits the elements of each array and map in a received batch.
const maxBatchItems = 4 * maxBatchLines

var encMode = mustEncMode(cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode())

var decMode = mustDecMode(cbor.DecOptions{MaxArrayElements: maxBatchItems, MaxMapPairs: maxBatchItems}.DecMode())

func mustEncMode(mode cbor.EncMode, err error) cbor.EncMode {
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode(mode cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeBatch encodes a batch for transfer between instances as CBOR with
// integer keys, which takes half the bytes of JSON. Times are encoded with
// microsecond precision.
func EncodeBatch(b Batch) ([]byte, error) {
	return encMode.Marshal(b)
}

// DecodeBatch decodes a batch that was encoded by EncodeBatch.
func DecodeBatch(raw []byte) (Batch, error) {
	var b Batch
	if err := decMode.Unmarshal(raw, &b); err != nil {
		return b, fmt.Errorf("batch of ledger lines is unreadable; upgrade all instances to the same version: %w", err)
	}
	return b, nil
}
