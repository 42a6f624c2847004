package measure

const (
	usualRuns = 5
	longRuns  = 2
	oneRun    = 1
)

// all lists the measurements in the order of the issues.
var all = []Measurement{
	{Name: "cores", About: coresAbout, Runs: usualRuns, Run: runCores},
	{Name: "added-time", About: addedAbout, Runs: usualRuns, Run: runAdded},
	{Name: "overload", About: overloadAbout, Runs: usualRuns, Run: runOverload},
	{Name: "recovery", About: recoveryAbout, Runs: usualRuns, Run: runRecovery},
	{Name: "retries", About: retriesAbout, Runs: longRuns, Run: runRetries},
	{Name: "patch", About: patchAbout, Runs: usualRuns, Run: runPatch},
	{Name: "restart", About: restartAbout, Runs: usualRuns, Run: runRestart},
	{Name: "lease", About: leaseAbout, Runs: oneRun, Run: runLease},
	{Name: "histories", About: historiesAbout, Runs: longRuns, Run: runHistories},
	{Name: "slopes", About: slopesAbout, Runs: oneRun, Run: runSlopes},
}
