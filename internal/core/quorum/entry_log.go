package quorum

import "slices"

// entryLog holds the log entries after baseIndex.
type entryLog struct {
	// baseIndex and baseTerm belong to the last entry that was compacted.
	baseIndex Index
	baseTerm  Term
	entries   []Entry
	// stableIndex is the last index that is synced to disk.
	stableIndex Index
	commitIndex Index
	// deliveredIndex is the last index that an Output gave out to be applied.
	deliveredIndex Index
}

func (log *entryLog) lastIndex() Index {
	return log.baseIndex + Index(len(log.entries))
}

func (log *entryLog) lastTerm() Term {
	term, _ := log.termAt(log.lastIndex())
	return term
}

// termAt returns the term of an entry. It returns false if the entry was
// compacted or is past the end of the log.
func (log *entryLog) termAt(index Index) (Term, bool) {
	switch {
	case index == log.baseIndex:
		return log.baseTerm, true
	case index < log.baseIndex || index > log.lastIndex():
		return 0, false
	}
	return log.entries[index-log.baseIndex-1].Term, true
}

// matchesTerm reports whether the log has an entry with this index and term.
func (log *entryLog) matchesTerm(index Index, term Term) bool {
	found, ok := log.termAt(index)
	return ok && found == term
}

// entriesFrom returns the entries from index on, up to maxBytes in total but at
// least one.
func (log *entryLog) entriesFrom(index Index, maxBytes int) []Entry {
	if index <= log.baseIndex || index > log.lastIndex() {
		return nil
	}
	entries := log.entries[index-log.baseIndex-1:]
	size := 0
	for i, entry := range entries {
		size += len(entry.Data) + entryOverheadBytes
		if size > maxBytes && i > 0 {
			return entries[:i:i]
		}
	}
	return entries
}

// entriesBetween returns the entries with indexes in (after, to].
func (log *entryLog) entriesBetween(after, to Index) []Entry {
	if to <= after {
		return nil
	}
	start, end := after-log.baseIndex, to-log.baseIndex
	return log.entries[start:end:end]
}

func (log *entryLog) append(entries ...Entry) {
	log.entries = append(log.entries, entries...)
}

// truncateAfter drops the entries after an index. It limits the capacity of the
// remaining slice, so that a later append does not overwrite entries in slices
// that were returned before.
func (log *entryLog) truncateAfter(after Index) {
	length := after - log.baseIndex
	log.entries = log.entries[:length:length]
	log.stableIndex = min(log.stableIndex, after)
}

func (log *entryLog) reset(index Index, term Term) {
	*log = entryLog{baseIndex: index, baseTerm: term, stableIndex: index, commitIndex: index, deliveredIndex: index}
}

// baseOfLast returns the index before the last entries up to an index that are at most
// so many and have at most maxBytes together.
func (log *entryLog) baseOfLast(index Index, maxEntries, maxBytes int) Index {
	size := 0
	for base := index; base > log.baseIndex; base-- {
		size += len(log.entries[base-log.baseIndex-1].Data) + entryOverheadBytes
		if size > maxBytes || index-base >= Index(maxEntries) {
			return base
		}
	}
	return log.baseIndex
}

// compactTo drops the entries up to and including index. It copies the rest, so
// that the memory of the dropped entries is freed.
func (log *entryLog) compactTo(index Index) {
	if index <= log.baseIndex {
		return
	}
	term, _ := log.termAt(index)
	log.entries = slices.Clone(log.entries[index-log.baseIndex:])
	log.baseIndex = index
	log.baseTerm = term
}

// lastIndexUpToTerm returns the last index that is at most maxIndex and whose
// term is at most maxTerm, or baseIndex. Leader and follower use it to skip
// whole terms when their logs conflict.
func (log *entryLog) lastIndexUpToTerm(maxIndex Index, maxTerm Term) Index {
	index := min(maxIndex, log.lastIndex())
	for index > log.baseIndex {
		found, _ := log.termAt(index)
		if found <= maxTerm {
			return index
		}
		index--
	}
	return log.baseIndex
}

// isUpToDate reports whether a log that ends at (index, term) is at least as
// up to date as this one, as Raft requires for a vote.
func (log *entryLog) isUpToDate(index Index, term Term) bool {
	lastTerm := log.lastTerm()
	return term > lastTerm || (term == lastTerm && index >= log.lastIndex())
}
