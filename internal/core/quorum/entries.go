package quorum

import "slices"

// entryLog holds the entries after base. The entries up to stable are synced,
// those up to commit are agreed on, those up to emitted were handed out.
type entryLog struct {
	base     Index
	baseTerm Term
	entries  []Entry
	stable   Index
	commit   Index
	emitted  Index
}

func (log *entryLog) last() Index {
	return log.base + Index(len(log.entries))
}

func (log *entryLog) lastTerm() Term {
	term, _ := log.term(log.last())
	return term
}

// term gives the term of an entry, if it is still kept.
func (log *entryLog) term(index Index) (Term, bool) {
	switch {
	case index == log.base:
		return log.baseTerm, true
	case index < log.base || index > log.last():
		return 0, false
	}
	return log.entries[index-log.base-1].Term, true
}

func (log *entryLog) matches(index Index, term Term) bool {
	found, ok := log.term(index)
	return ok && found == term
}

// from gives the entries from index on, up to a size in bytes but at least one.
func (log *entryLog) from(index Index, limit int) []Entry {
	if index <= log.base || index > log.last() {
		return nil
	}
	entries := log.entries[index-log.base-1:]
	size := 0
	for at, entry := range entries {
		size += len(entry.Data) + entryOverhead
		if size > limit && at > 0 {
			return entries[:at:at]
		}
	}
	return entries
}

// between gives the entries after one index up to another.
func (log *entryLog) between(after, to Index) []Entry {
	if to <= after {
		return nil
	}
	first, end := after-log.base, to-log.base
	return log.entries[first:end:end]
}

func (log *entryLog) append(entries ...Entry) {
	log.entries = append(log.entries, entries...)
}

// truncate drops the entries after index. What was handed out before stays as
// it is.
func (log *entryLog) truncate(after Index) {
	kept := after - log.base
	log.entries = log.entries[:kept:kept]
	log.stable = min(log.stable, after)
}

func (log *entryLog) reset(index Index, term Term) {
	*log = entryLog{base: index, baseTerm: term, stable: index, commit: index, emitted: index}
}

// compact drops the entries up to index.
func (log *entryLog) compact(index Index) {
	if index <= log.base {
		return
	}
	term, _ := log.term(index)
	log.entries = slices.Clone(log.entries[index-log.base:])
	log.base = index
	log.baseTerm = term
}

// floor gives the last index up to a limit whose term is at most the given
// one, or the base.
func (log *entryLog) floor(limit Index, term Term) Index {
	index := min(limit, log.last())
	for index > log.base {
		found, _ := log.term(index)
		if found <= term {
			return index
		}
		index--
	}
	return log.base
}

func (log *entryLog) upToDate(index Index, term Term) bool {
	own := log.lastTerm()
	return term > own || (term == own && index >= log.last())
}
