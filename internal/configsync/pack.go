package configsync

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"

	"galenatrestle/internal/config"
)

const (
	// chunkBytes is the largest part of a packed document in one value.
	chunkBytes = 512 << 10
	// maxPackedBytes is the largest packed document.
	maxPackedBytes = 16 * chunkBytes
	// maxUnpackedBytes bounds what a packed document may unpack to.
	maxUnpackedBytes = 64 << 20
	// maxPatchBytes is the largest packed patch that travels in records and
	// notices.
	maxPatchBytes = 32 << 10
)

func pack(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxUnpackedBytes {
		return nil, fmt.Errorf("unpacks to more than %d bytes", maxUnpackedBytes)
	}
	return data, nil
}

// packDocument returns the packed canonical document and its sum.
func packDocument(canonical *config.Document) ([]byte, config.Sum, error) {
	data, err := config.EncodeCanonical(canonical)
	if err != nil {
		return nil, config.Sum{}, err
	}
	packed, err := pack(data)
	return packed, sha256.Sum256(data), err
}

// unpackDocument checks the sum before it decodes.
func unpackDocument(packed []byte, revision int64, want config.Sum) (*config.Document, error) {
	data, err := unpack(packed)
	if err != nil {
		return nil, err
	}
	if err := checkSum(revision, sha256.Sum256(data), want); err != nil {
		return nil, err
	}
	return config.DecodeCanonical(data)
}

func checkSum(revision int64, got, want config.Sum) error {
	if got == want {
		return nil
	}
	return &SumError{Revision: revision, Got: hex.EncodeToString(got[:]), Want: hex.EncodeToString(want[:])}
}

// packPatch returns the packed patch, or nil where it would be large.
func packPatch(from, to *config.Document) ([]byte, error) {
	data, err := json.Marshal(config.MakePatch(from, to))
	if err != nil {
		return nil, err
	}
	packed, err := pack(data)
	if err != nil || len(packed) > maxPatchBytes {
		return nil, err
	}
	return packed, nil
}

func unpackPatch(packed []byte) (*config.Patch, error) {
	data, err := unpack(packed)
	if err != nil {
		return nil, err
	}
	patch := &config.Patch{}
	return patch, json.Unmarshal(data, patch)
}

func split(packed []byte) [][]byte {
	var chunks [][]byte
	for len(packed) > 0 {
		n := min(len(packed), chunkBytes)
		chunks = append(chunks, packed[:n])
		packed = packed[n:]
	}
	return chunks
}
