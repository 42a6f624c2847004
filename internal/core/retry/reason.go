package retry

// Reason tells why a call is retried or not. Each reason has a counter.
type Reason uint8

// The reasons.
const (
	Allowed Reason = iota
	// Succeeded is an attempt that needs no other.
	Succeeded
	// AllowanceSpent means that the root request has no retries left here.
	AllowanceSpent
	// EdgeSpent means that the service answered too few calls of late.
	EdgeSpent
	// MayHaveRun means that the action may not be repeated and may have run.
	MayHaveRun
	// NoHelpElsewhere means that another target would end the same way.
	NoHelpElsewhere
	// DeadlineTooClose means that another attempt would end too late.
	DeadlineTooClose
	// KindLimit means that the call used the retries of its kind.
	KindLimit
	// BodyLost means that the body cannot be sent again.
	BodyLost
	// Quarantined means that targets died while they worked on the request.
	Quarantined

	// ReasonCount is the number of reasons.
	ReasonCount
)

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

// String gives the name of the reason's counter.
func (reason Reason) String() string {
	if reason >= ReasonCount {
		return "invalid"
	}
	return reasonNames[reason]
}
