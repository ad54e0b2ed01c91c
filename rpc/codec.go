// Package rpc exchanges jsonrpc2 messages between the system's processes over TCP. It
// limits message sizes and write times, authenticates peers by a shared token and
// supports TLS.
package rpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"math"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/baobabshore/baobabshore/intake"
)

// Counters counts the bytes and messages that a process sends and receives.
type Counters struct {
	BytesIn, BytesOut       atomic.Int64
	MessagesIn, MessagesOut atomic.Int64
	Probes                  atomic.Int64 // sent to learn whether a connection delivers
	Failed                  atomic.Int64 // connections that were closed because a probe wasn't answered
}

// codec frames messages like jsonrpc2.VarintObjectCodec. In addition it limits the size
// of incoming messages, counts messages and bytes, and takes memory for a message before
// the message is read and before it is decoded.
type codec struct {
	conn     *Conn
	counters *Counters
}

const (
	// messageBytes is the memory of a message that is being handled, without its text: a
	// goroutine with its stack.
	messageBytes = 8 << 10
	// objectBytes is the memory of the largest object of a message, a task's start.
	objectBytes = 512
)

func (c codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	buf := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(data)), uint64(len(data)))
	buf = append(buf, data...)
	c.counters.BytesOut.Add(int64(len(buf)))
	c.conn.delivery.bytesOut.Add(int64(len(buf)))
	c.counters.MessagesOut.Add(1)
	_, err = w.Write(buf)
	if err != nil {
		// A part of the message may have been written, and nothing can follow it.
		_ = c.conn.raw.Close()
	}
	return err
}

func (c codec) ReadObject(r *bufio.Reader, v any) error {
	c.conn.takeGrant().Release() // of a response, which no handler has taken
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	limit := c.conn.maxMessageBytes.Load()
	data, err := c.conn.stream.Read(r, int(min(n, math.MaxInt)), int(limit))
	if err != nil {
		return errors.Wrapf(err, "message of %d bytes, limit %d", n, limit)
	}
	// The library copies the parameters and the handler decodes them.
	if err := c.conn.stream.Reserve(messageBytes + int64(n) + intake.DecodedBytes(data, objectBytes)); err != nil {
		return err
	}
	c.counters.BytesIn.Add(int64(n))
	c.counters.MessagesIn.Add(1)
	if err := json.Unmarshal(data, v); err != nil {
		return err
	}
	c.conn.grant = c.conn.stream.Complete()
	return nil
}
