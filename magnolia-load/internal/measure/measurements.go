package measure

const (
	defaultRuns         = 5
	longMeasurementRuns = 2
	singleRun           = 1
)

// measurements lists all measurements in the order in which they are shown.
var measurements = []Measurement{
	{Name: "cores", About: coresAbout, Runs: defaultRuns, Run: runCores},
	{Name: "added-time", About: addedAbout, Runs: defaultRuns, Run: runAddedTime},
	{Name: "overload", About: overloadAbout, Runs: defaultRuns, Run: runOverload},
	{Name: "recovery", About: recoveryAbout, Runs: defaultRuns, Run: runRecovery},
	{Name: "retries", About: retriesAbout, Runs: longMeasurementRuns, Run: runRetries},
	{Name: "patch", About: patchAbout, Runs: defaultRuns, Run: runPatch},
	{Name: "restart", About: restartAbout, Runs: defaultRuns, Run: runRestart},
	{Name: "lease", About: leaseAbout, Runs: singleRun, Run: runLease},
	{Name: "histories", About: historiesAbout, Runs: longMeasurementRuns, Run: runHistories},
	{Name: "slopes", About: slopesAbout, Runs: singleRun, Run: runSlopes},
}
