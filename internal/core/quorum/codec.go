package quorum

import "github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"

// EncodeEntries returns the protobuf form of entries. The indexes are not
// encoded; the receiver derives them from the preceding index.
func EncodeEntries(entries []Entry) []*quorumpb.Entry {
	if len(entries) == 0 {
		return nil
	}
	values := make([]quorumpb.Entry, len(entries))
	encoded := make([]*quorumpb.Entry, len(entries))
	for i, entry := range entries {
		values[i].Term = uint64(entry.Term)
		values[i].Kind = quorumpb.EntryKind(entry.Kind)
		values[i].Data = entry.Data
		encoded[i] = &values[i]
	}
	return encoded
}

// DecodeEntries decodes entries whose indexes follow after.
func DecodeEntries(after Index, encoded []*quorumpb.Entry) []Entry {
	entries := make([]Entry, len(encoded))
	for i, entry := range encoded {
		entries[i] = Entry{
			Index: after + 1 + Index(i),
			Term:  Term(entry.GetTerm()),
			Kind:  EntryKind(entry.GetKind()),
			Data:  entry.GetData(),
		}
	}
	return entries
}

func (replica *Replica) setHeader(message *quorumpb.Message, to ReplicaID, term Term) *quorumpb.Message {
	message.From = uint64(replica.ID)
	message.To = uint64(to)
	message.Term = uint64(term)
	return message
}
