package controlstate

// interned stores each distinct value once, under a number, as long as a row refers
// to it.
type interned[T comparable] struct {
	values  []internedValue[T]
	numbers map[T]uint32
	free    []uint32
}

type internedValue[T comparable] struct {
	value T
	refs  int
}

func newInterned[T comparable]() interned[T] { return interned[T]{numbers: map[T]uint32{}} }

func (t *interned[T]) get(n uint32) T { return t.values[n].value }

// add returns the number of a value and adds a reference to it.
func (t *interned[T]) add(v T) uint32 {
	if n, ok := t.numbers[v]; ok {
		t.values[n].refs++
		return n
	}
	row := internedValue[T]{value: v, refs: 1}
	n := uint32(len(t.values))
	if last := len(t.free) - 1; last >= 0 {
		n, t.free = t.free[last], t.free[:last]
		t.values[n] = row
	} else {
		t.values = append(t.values, row)
	}
	t.numbers[v] = n
	return n
}

// release removes a reference. The number of a value without references is reused.
func (t *interned[T]) release(n uint32) {
	r := &t.values[n]
	if r.refs--; r.refs > 0 {
		return
	}
	delete(t.numbers, r.value)
	*r = internedValue[T]{}
	t.free = append(t.free, n)
}
