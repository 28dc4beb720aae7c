package scheduler

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	// compressAbove is the size from which on a lease bounds record is compressed. That of
	// 15,000 unresponsive workers would not fit into a record of the store otherwise.
	compressAbove = 64 << 10
	// compressedRecord is the first byte of a compressed record. The other ones start with
	// a CBOR array.
	compressedRecord = 0
	// compressionLevel favours speed: the record is encoded again when workers answer.
	compressionLevel = 3
	// maxBoundsBytes limits the size of a record before its compression.
	maxBoundsBytes = 16 << 20
)

// encode returns the lease bounds record.
func (b *storedLeaseBounds) encode() ([]byte, error) {
	record, err := cbor.Marshal(b)
	if err != nil || len(record) <= compressAbove {
		return record, err
	}
	out := bytes.NewBuffer([]byte{compressedRecord})
	w, err := flate.NewWriter(out, compressionLevel)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(record); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decode reads a lease bounds record.
func (b *storedLeaseBounds) decode(record []byte) error {
	if len(record) > 0 && record[0] == compressedRecord {
		var err error
		record, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(record[1:])), maxBoundsBytes+1))
		if err != nil {
			return err
		}
		if len(record) > maxBoundsBytes {
			return fmt.Errorf("the record has more than %d bytes", maxBoundsBytes)
		}
	}
	return cbor.Unmarshal(record, b)
}
