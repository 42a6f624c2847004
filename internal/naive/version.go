package naive

// Versions is the baseline of the versions of the ledger: the last write wins, and
// a resend counts as a new write.
type Versions struct {
	Number uint64
	Writer string
}

// Write accepts every write and returns the new version number.
func (versions *Versions) Write(writer string) uint64 {
	versions.Number++
	versions.Writer = writer
	return versions.Number
}
