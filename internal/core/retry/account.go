package retry

// Allowance is a number of retries.
type Allowance int

// Account holds the part of a root request's allowance that one node has for
// one inbound call.
type Account struct {
	// Remaining is the number of retries neither spent nor handed over to a call.
	Remaining Allowance

	closed bool
}

// TakeShare takes out the retries that travel with one attempt of an outbound
// call. If more than one is left, one stays with the caller. The others go
// downstream, where a retry repeats the least work. A closed account hands over
// none.
func (account *Account) TakeShare() Allowance {
	share := account.Remaining
	if share > 1 {
		share--
	}
	if account.closed {
		share = 0
	}
	account.Remaining -= share
	return share
}

// Return puts back the part of a handed-over share that the answer to the call
// reports as unspent. It ignores what exceeds the share, and does nothing after
// Close.
func (account *Account) Return(share, unspent Allowance) {
	if account.closed {
		return
	}
	account.Remaining += max(0, min(unspent, share))
}

// Close closes the account and returns its unspent retries, which the answer to
// the inbound call reports.
func (account *Account) Close() Allowance {
	left := account.Remaining
	account.Remaining = 0
	account.closed = true
	return left
}
