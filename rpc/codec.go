// Package rpc exchanges jsonrpc2 messages between the system's processes over TCP. It
// limits message sizes and write times, authenticates peers by a shared token and
// supports TLS.
package rpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Counters counts the bytes and messages that a process sends and receives.
type Counters struct {
	BytesIn, BytesOut       atomic.Int64
	MessagesIn, MessagesOut atomic.Int64
}

// codec frames messages like jsonrpc2.VarintObjectCodec. In addition it limits the size
// of incoming messages and counts messages and bytes.
type codec struct {
	maxMessageBytes *atomic.Int64
	counters        *Counters
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
	if n > uint64(c.maxMessageBytes.Load()) {
		return errors.Errorf("message of %d bytes is above the limit of %d bytes", n, c.maxMessageBytes.Load())
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
