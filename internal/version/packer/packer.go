// Package packer compresses versions for transfer between processes. The caller
// keeps the result, so that a version is compressed once, not once per request.
//
// # Usage
//
//	packed, err := packer.Pack(&controlwire.FetchResponse{Snapshot: version})
//	plain, err := packer.Unpack(packed)
//
// Responses below a minimum size stay uncompressed.
package packer

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	// minCompressBytes is the encoded size from which a response is compressed.
	minCompressBytes = 16 << 10
	// MaxResponseBytes is the maximum encoded size of an uncompressed response.
	MaxResponseBytes = 8 << 20
)

// Pack returns a response whose field packed holds resp in compressed form, or resp
// itself if it is small.
func Pack(resp *controlwire.FetchResponse) (*controlwire.FetchResponse, error) {
	if proto.Size(resp) < minCompressBytes {
		return resp, nil
	}
	plain, err := proto.Marshal(resp)
	if err != nil {
		return nil, fmt.Errorf("encode response: %w", err)
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("compress response: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress response: %w", err)
	}
	return &controlwire.FetchResponse{Packed: out.Bytes()}, nil
}

// Unpack returns the response that resp holds in compressed form, or resp itself if
// it is not compressed. It reads at most MaxResponseBytes of the decompressed data.
func Unpack(resp *controlwire.FetchResponse) (*controlwire.FetchResponse, error) {
	if resp.GetPacked() == nil {
		return resp, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(resp.GetPacked()))
	if err != nil {
		return nil, fmt.Errorf("decompress response: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, MaxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress response: %w", err)
	}
	unpacked := &controlwire.FetchResponse{}
	if err := proto.Unmarshal(plain, unpacked); err != nil {
		return nil, fmt.Errorf("decode response: %w", err)
	}
	return unpacked, nil
}
