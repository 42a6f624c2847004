package quorum

import "github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"

// EncodeEntries gives the wire form of entries.
func EncodeEntries(entries []Entry) []*quorumpb.Entry {
	if len(entries) == 0 {
		return nil
	}
	values := make([]quorumpb.Entry, len(entries))
	encoded := make([]*quorumpb.Entry, len(entries))
	for at, entry := range entries {
		values[at].Term = uint64(entry.Term)
		values[at].Kind = quorumpb.EntryKind(entry.Kind)
		values[at].Data = entry.Data
		encoded[at] = &values[at]
	}
	return encoded
}

// DecodeEntries reads the wire form of the entries after an index.
func DecodeEntries(after Index, encoded []*quorumpb.Entry) []Entry {
	entries := make([]Entry, len(encoded))
	for at, entry := range encoded {
		entries[at] = Entry{
			Index: after + 1 + Index(at),
			Term:  Term(entry.GetTerm()),
			Kind:  EntryKind(entry.GetKind()),
			Data:  entry.GetData(),
		}
	}
	return entries
}

func (replica *Replica) address(message *quorumpb.Message, to ReplicaID, term Term) *quorumpb.Message {
	message.From = uint64(replica.ID)
	message.To = uint64(to)
	message.Term = uint64(term)
	return message
}
