package consensus

// entryLog is the part of the replicated log that is kept in memory.
type entryLog struct {
	base     uint64 // index before the first entry
	baseTerm uint64
	entries  []Entry
	stable   uint64 // last index that is known to be synced
}

func newLog(s *Snapshot, entries []Entry) entryLog {
	l := entryLog{}
	if s != nil {
		l.base, l.baseTerm = s.Index, s.Term
	}
	l.entries = append(l.entries, entries...)
	l.stable = l.last()
	return l
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index. It is unknown before base and
// after the last entry.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// coveredBy reports whether a candidate with the given last entry is at least as
// up to date as this log.
func (l *entryLog) coveredBy(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	// The full slice expression makes the next append copy, since a Ready that
	// is still being persisted may share the array.
	keep := index - l.base - 1
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
}

// slice returns the entries from index from up to index to.
func (l *entryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	return l.entries[from-l.base-1 : to-l.base : to-l.base]
}

// batch returns the entries from index from on, of at most maxBytes together
// but at least one.
func (l *entryLog) batch(from uint64, maxBytes int) []Entry {
	end, size := from, 0
	for end <= l.last() {
		size += entrySize(l.entries[end-l.base-1])
		if size > maxBytes && end > from {
			break
		}
		end++
	}
	return l.slice(from, end-1)
}

// backOff returns the largest index, at most index, whose term is at most term.
func (l *entryLog) backOff(index, term uint64) uint64 {
	index = min(index, l.last())
	for index > l.base {
		if t, ok := l.term(index); !ok || t <= term {
			break
		}
		index--
	}
	return index
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	t, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, t
}

// reset empties the log so that it continues after s.
func (l *entryLog) reset(s *Snapshot) {
	*l = entryLog{base: s.Index, baseTerm: s.Term, stable: s.Index}
}

func entrySize(e Entry) int { return len(e.Data) + entryOverheadBytes }
