package distributor

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// packFrom is the size, in bytes, from which on an answer is compressed once for
// all who ask, rather than each time.
const packFrom = 16 << 10

// packResponse returns an answer that holds another one in compressed form.
func packResponse(resp *controlwire.FetchResponse) (*controlwire.FetchResponse, error) {
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

// unpackResponse returns the answer that another one holds, or that one itself.
func unpackResponse(resp *controlwire.FetchResponse) (*controlwire.FetchResponse, error) {
	if resp.GetPacked() == nil {
		return resp, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(resp.GetPacked()))
	if err != nil {
		return nil, fmt.Errorf("decompress answer: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxVersionBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress answer: %w", err)
	}
	unpacked := &controlwire.FetchResponse{}
	if err := proto.Unmarshal(plain, unpacked); err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	return unpacked, nil
}
