package web

import (
	"math"
	"strconv"
	"strings"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// TargetStatus is what a response says about its target, apart from the call that it
// answers.
type TargetStatus struct {
	// Instance is the instance that responded, or empty where the response does not name
	// it. OtherInstance says that it is not the one that the call was meant for.
	Instance      request.InstanceID
	OtherInstance bool
	// Leaving says that the target is about to stop.
	Leaving bool
	// Limited says that the target states a rate limit, which is Limit: the calls per
	// second that it takes from all callers together. A response without a limit
	// states that there is none.
	Limited bool
	Limit   request.Rate
	// Unreadable is a limit that could not be read, quoted, or empty. It says nothing about
	// the limits in other responses.
	Unreadable string
	// UnknownHeaders are the headers by which targets report about themselves, as far as
	// their names tell, and that the dialect does not know.
	UnknownHeaders []string
}

// leavingValue is the value of a header that says that a target is leaving.
const leavingValue = "1"

// ReadTargetStatus reads the values of the two headers by which a target states its rate
// limit and that it is leaving. Of several limits the lowest one counts.
func ReadTargetStatus(limits, leaving []string) TargetStatus {
	status := TargetStatus{}
	for _, value := range leaving {
		status.Leaving = status.Leaving || strings.TrimSpace(value) == leavingValue
	}
	for _, line := range limits {
		for value := range strings.SplitSeq(line, ",") {
			status.addLimit(strings.TrimSpace(value))
		}
	}
	return status
}

func (status *TargetStatus) addLimit(text string) {
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || !(limit >= 0) || math.IsInf(limit, 0) {
		status.Unreadable = strconv.Quote(text)
		return
	}
	if !status.Limited || request.Rate(limit) < status.Limit {
		status.Limited, status.Limit = true, request.Rate(limit)
	}
}
