package naive

// Versions is the naive twin of the ledger's versions: the last write wins, and
// a resend is a new write.
type Versions struct {
	Number uint64
	Writer string
}

// Write accepts whatever comes.
func (versions *Versions) Write(writer string) uint64 {
	versions.Number++
	versions.Writer = writer
	return versions.Number
}
