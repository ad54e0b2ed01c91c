// Package rpc carries jsonrpc2 messages between the system's processes over
// TCP, with bounds on size and time, a shared token and optional TLS.
package rpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Counters counts what passes through the codec of a process.
type Counters struct {
	BytesIn, BytesOut       atomic.Int64
	MessagesIn, MessagesOut atomic.Int64
}

// codec frames messages as jsonrpc2.VarintObjectCodec does, and adds a bound on
// the size of an incoming message and byte counts.
type codec struct {
	max      *atomic.Int64 // bytes
	counters *Counters
}

func (c codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	buf := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(data)), uint64(len(data)))
	buf = append(buf, data...)
	c.counters.BytesOut.Add(int64(len(buf)))
	c.counters.MessagesOut.Add(1)
	_, err = w.Write(buf)
	return err
}

func (c codec) ReadObject(r *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if n > uint64(c.max.Load()) {
		return errors.Errorf("message of %d bytes is above the limit of %d bytes", n, c.max.Load())
	}
	body := io.LimitReader(r, int64(n))
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	if uint64(len(data)) < n {
		return io.ErrUnexpectedEOF
	}
	c.counters.BytesIn.Add(int64(n))
	c.counters.MessagesIn.Add(1)
	return json.Unmarshal(data, v)
}
