package intake

import (
	"io"
	"net"

	"github.com/go-faster/errors"
)

const (
	// chunkBytes is the size of the buffers into which bodies and messages are read. They
	// are used again: allocating anew for each peer that stops in between, and comes back,
	// makes garbage faster than the collector can free it.
	chunkBytes = 64 << 10
	// directBytes is the size up to which a message is read into its own memory.
	directBytes = 4 << 10
	// freeShare is the largest share of the budget that unused chunks take.
	freeShare = 1.0 / 16
)

// chunk returns an unused chunk or a new one.
func (b *Budget) chunk() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := len(b.free) - 1
	if last < 0 {
		return make([]byte, chunkBytes)
	}
	c := b.free[last]
	b.free = b.free[:last]
	return c
}

// recycle keeps chunks for later use.
func (b *Budget) recycle(chunks [][]byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range chunks {
		if float64((len(b.free)+1)*chunkBytes) > freeShare*float64(b.total) {
			return
		}
		b.free = append(b.free, c)
	}
}

// readBody reads a body or message of n bytes, or until the end of r if n is negative, but
// at most limit bytes. It takes memory as the bytes arrive, since a length is only
// announced. Errors are ErrNoRoom, ErrTooLarge, ErrTimeout and ErrBroken.
func (g *Gate) readBody(c *conn, r io.Reader, n, limit int) ([]byte, error) {
	switch {
	case n > limit:
		return nil, ErrTooLarge
	case n >= 0 && n <= directBytes:
		return g.readDirect(c, r, n)
	}
	var chunks [][]byte
	defer func() { g.account.budget.recycle(chunks) }()
	size := 0
	for n < 0 || size < n {
		if !g.reserve(c, chunkBytes) {
			return nil, ErrNoRoom
		}
		chunks = append(chunks, g.account.budget.chunk())
		want := chunkBytes
		if n >= 0 {
			want = min(want, n-size)
		}
		read, err := io.ReadFull(r, chunks[len(chunks)-1][:want])
		size += read
		switch {
		case size > limit:
			return nil, ErrTooLarge
		case n < 0 && (err == io.EOF || err == io.ErrUnexpectedEOF):
			n = size
		case err != nil:
			return nil, readError(err)
		}
	}
	return g.assemble(c, chunks, size)
}

func (g *Gate) readDirect(c *conn, r io.Reader, n int) ([]byte, error) {
	if !g.reserve(c, int64(n)) {
		return nil, ErrNoRoom
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, readError(err)
	}
	return body, nil
}

// readError returns the error for a body whose read failed with err.
func readError(err error) error {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return ErrTimeout
	}
	return ErrBroken
}

// assemble returns the bytes of chunks as one slice, and gives the room of the chunks back.
func (g *Gate) assemble(c *conn, chunks [][]byte, size int) ([]byte, error) {
	if !g.reserve(c, int64(size)) {
		return nil, ErrNoRoom
	}
	body := make([]byte, 0, size)
	for _, chunk := range chunks {
		body = append(body, chunk[:min(chunkBytes, size-len(body))]...)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.removed { // else the close has given back everything
		g.release(c, int64(len(chunks)*chunkBytes))
	}
	return body, nil
}
