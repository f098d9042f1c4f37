// Package packer compresses versions for the way between processes, once for all
// who ask for the same.
//
// # Usage
//
//	packed, err := packer.Pack(&controlwire.FetchResponse{Snapshot: version})
//	plain, err := packer.Unpack(packed)
//
// What is small is left as it is.
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
	// packFrom is the size, in bytes, from which on an answer is compressed.
	packFrom = 16 << 10
	// MaxBytes bounds an answer in plain form.
	MaxBytes = 8 << 20
)

// Pack returns an answer that holds another one in compressed form, or that one
// itself if it is small.
func Pack(resp *controlwire.FetchResponse) (*controlwire.FetchResponse, error) {
	if proto.Size(resp) < packFrom {
		return resp, nil
	}
	plain, err := proto.Marshal(resp)
	if err != nil {
		return nil, fmt.Errorf("encode answer: %w", err)
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("compress answer: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress answer: %w", err)
	}
	return &controlwire.FetchResponse{Packed: out.Bytes()}, nil
}

// Unpack returns the answer that another one holds, or that one itself.
func Unpack(resp *controlwire.FetchResponse) (*controlwire.FetchResponse, error) {
	if resp.GetPacked() == nil {
		return resp, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(resp.GetPacked()))
	if err != nil {
		return nil, fmt.Errorf("decompress answer: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, MaxBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress answer: %w", err)
	}
	unpacked := &controlwire.FetchResponse{}
	if err := proto.Unmarshal(plain, unpacked); err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	return unpacked, nil
}
