package retry

// Allowance is a number of retries.
type Allowance int

// Account is the part of a root request's allowance that one node holds for one
// inbound call.
type Account struct {
	// Left is what is not spent and not handed over.
	Left Allowance

	closed bool
}

// HandOver takes the share of a call that the target makes, or of another
// attempt of it. One retry stays behind for the caller itself when there is
// more than one, and the rest goes down, where a retry repeats the least work.
func (account *Account) HandOver() Allowance {
	share := account.Left
	if share > 1 {
		share--
	}
	if account.closed {
		share = 0
	}
	account.Left -= share
	return share
}

// Return takes back what the answer to a call says was not spent of the share
// that was handed over to it. What exceeds the share is ignored, and so is
// what returns after the account was closed.
func (account *Account) Return(share, unspent Allowance) {
	if account.closed {
		return
	}
	account.Left += max(0, min(unspent, share))
}

// Close ends the account and gives what was not spent, for the answer to the
// inbound call.
func (account *Account) Close() Allowance {
	left := account.Left
	account.Left = 0
	account.closed = true
	return left
}
