package measure

// all lists the measurements in the order of the issues.
var all = []Measurement{
	{Name: "cores", About: coresAbout, Run: runCores},
	{Name: "added-time", About: addedAbout, Run: runAdded},
	{Name: "overload", About: overloadAbout, Run: runOverload},
	{Name: "recovery", About: recoveryAbout, Run: runRecovery},
	{Name: "retries", About: retriesAbout, Run: runRetries},
	{Name: "lease", About: leaseAbout, Run: runLease},
}
