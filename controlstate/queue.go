package controlstate

// Positions of rows count up modulo 1<<posBits, which bounds the rows of a queue.
const (
	posBits   = 20
	posMask   = 1<<posBits - 1
	chunkRows = 1024 // divides 1<<posBits
	// maxQueue leaves room for rows that have left the first chunk.
	maxQueue = 1<<posBits - chunkRows
)

// queue holds rows in the order of their arrival. A row keeps its position until
// it is moved or leaves. Chunks of rows without pointers are not scanned by the
// garbage collector, and growth copies no rows.
type queue[T any] struct {
	chunks []*[chunkRows]T
	head   uint32 // position of the first row
	n      int
}

func (q *queue[T]) len() int { return q.n }

// pos returns the position of the i-th row.
func (q *queue[T]) pos(i int) uint32 { return (q.head + uint32(i)) & posMask }

// at returns the row at a position. It is valid until the next change of the queue.
func (q *queue[T]) at(pos uint32) *T {
	offset := (pos - q.head&^(chunkRows-1)) & posMask
	return &q.chunks[offset/chunkRows][offset%chunkRows]
}

func (q *queue[T]) nth(i int) *T { return q.at(q.pos(i)) }

func (q *queue[T]) push(row T) uint32 {
	if (int(q.head%chunkRows)+q.n)/chunkRows == len(q.chunks) {
		q.chunks = append(q.chunks, new([chunkRows]T))
	}
	pos := q.pos(q.n)
	q.n++
	*q.at(pos) = row
	return pos
}

// pop removes the first n rows.
func (q *queue[T]) pop(n int) {
	full := (int(q.head%chunkRows) + n) / chunkRows
	clear(q.chunks[:full])
	q.chunks = q.chunks[full:]
	q.head = q.pos(n)
	q.n -= n
}
