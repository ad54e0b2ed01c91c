package consensus

// entryLog is the part of the replicated log that is kept in memory.
type entryLog struct {
	baseIndex   uint64 // index of the last entry that is no longer in memory
	baseTerm    uint64
	entries     []Entry
	syncedIndex uint64 // last index that this node is known to have synced
}

func newLog(s *Snapshot, entries []Entry) entryLog {
	l := entryLog{}
	if s != nil {
		l.baseIndex, l.baseTerm = s.Index, s.Term
	}
	l.entries = append(l.entries, entries...)
	l.syncedIndex = l.last()
	return l
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, and false if it is unknown, which
// it is before baseIndex and after the last entry.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// isCandidateUpToDate reports whether the log of a candidate with the given last
// entry is at least as up to date as this log.
func (l *entryLog) isCandidateUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncateFrom drops the entries from index on.
func (l *entryLog) truncateFrom(index uint64) {
	// The full slice expression forces the next append to copy. A Ready that is
	// still being persisted may share the backing array, whose entries would
	// otherwise be overwritten.
	keep := index - l.baseIndex - 1
	l.entries = l.entries[:keep:keep]
	l.syncedIndex = min(l.syncedIndex, index-1)
}

// slice returns the entries at the indexes from to to, both included.
func (l *entryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	return l.entries[from-l.baseIndex-1 : to-l.baseIndex : to-l.baseIndex]
}

// batch returns the entries from index from on whose total size is at most
// maxBytes, but at least one entry.
func (l *entryLog) batch(from uint64, maxBytes int) []Entry {
	end, size := from, 0
	for end <= l.last() {
		size += entrySize(l.entries[end-l.baseIndex-1])
		if size > maxBytes && end > from {
			break
		}
		end++
	}
	return l.slice(from, end-1)
}

// lastIndexWithTermAtMost returns the largest index, at most index, whose term is
// at most term. It does not go below baseIndex.
func (l *entryLog) lastIndexWithTermAtMost(index, term uint64) uint64 {
	index = min(index, l.last())
	for index > l.baseIndex {
		if t, ok := l.term(index); !ok || t <= term {
			break
		}
		index--
	}
	return index
}

// compactIndex returns the index up to which the log can be compacted, so that at most
// maxEntries entries of at most maxBytes in total remain up to index.
func (l *entryLog) compactIndex(index, maxEntries uint64, maxBytes int) uint64 {
	first, size := index, 0
	for first > l.baseIndex && index-first < maxEntries {
		size += entrySize(l.entries[first-l.baseIndex-1])
		if size > maxBytes {
			break
		}
		first--
	}
	return first
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	t, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, t
}

// reset empties the log so that it continues after s.
func (l *entryLog) reset(s *Snapshot) {
	*l = entryLog{baseIndex: s.Index, baseTerm: s.Term, syncedIndex: s.Index}
}

func entrySize(e Entry) int { return len(e.Data) + entryOverheadBytes }
