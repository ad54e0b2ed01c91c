package controlstate

// Positions of rows are counted modulo 1<<posBits, which limits the rows of a queue.
const (
	posBits   = 20
	posMask   = 1<<posBits - 1
	chunkRows = 1024 // divides 1<<posBits
	// maxQueueRows leaves room for removed rows of the first chunk.
	maxQueueRows = 1<<posBits - chunkRows
)

// queue holds rows in the order of their insertion. A row keeps its position until
// it is moved or removed. The garbage collector does not scan chunks of rows without
// pointers, and growth copies no rows.
type queue[T any] struct {
	chunks []*[chunkRows]T
	head   uint32 // position of the first row
	n      int
}

func (q *queue[T]) len() int { return q.n }

// pos returns the position of the i-th row.
func (q *queue[T]) pos(i int) uint32 { return (q.head + uint32(i)) & posMask }

// at returns the row at a position. The pointer is valid until the next change of
// the queue.
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
