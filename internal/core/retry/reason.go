package retry

// Reason tells why a call is retried or not. A metric counts each reason.
type Reason uint8

// The reasons. All but Allowed rule out a retry.
const (
	Allowed Reason = iota
	// Succeeded means that the attempt succeeded.
	Succeeded
	// AllowanceSpent means that this node has no retries left for the root request,
	// or that the call belongs to none.
	AllowanceSpent
	// BudgetSpent means that the retry budget for the service is used up, or that
	// only the reserve for important calls is left.
	BudgetSpent
	// MayHaveRun means that the action may have run and must not run twice.
	MayHaveRun
	// NoHelpElsewhere means that another target would give the same result.
	NoHelpElsewhere
	// DeadlineTooClose means that another attempt would end after the deadline.
	DeadlineTooClose
	// KindLimit means that the call has made all retries that its kind allows.
	KindLimit
	// BodyLost means that the request body is no longer available.
	BodyLost
	// Quarantined means that targets crashed while they worked on the request.
	Quarantined

	// ReasonCount is the number of reasons.
	ReasonCount
)

// reasonNames are labels of a metric. An edge, as in "edge-spent", is a pair of a
// caller and a service that it calls; each has a budget of its own.
var reasonNames = [ReasonCount]string{
	"allowed",
	"succeeded",
	"allowance-spent",
	"edge-spent",
	"may-have-run",
	"no-help-elsewhere",
	"deadline-too-close",
	"kind-limit",
	"body-lost",
	"quarantined",
}

// String returns the reason as the metric and the log name it.
func (reason Reason) String() string {
	if reason >= ReasonCount {
		return "invalid"
	}
	return reasonNames[reason]
}
