// Package replica runs one replica of the replicated state: the core of the
// quorum log, its store on a disk, and the state machine that the log drives.
//
// One goroutine owns all of this. It takes all pending inputs, stores what
// follows from them with one sync, and then sends messages and applies committed
// commands. The exported methods may be called by any goroutine. A command can be
// proposed at any replica, which forwards it to the leader. Commands must be
// idempotent: one whose outcome is unknown is sent again to the next leader.
//
// A replica with an empty data folder takes a new random id. Together with the
// replicas that its settings list it creates a log only if every one of them
// answers that it has none; otherwise it waits until it is added as a learner. So
// a host that lost its disk never votes under its old id.
//
// # Usage
//
//	control := &replica.Replica[*ledger.Machine]{
//		Machine:   ledger.New(),
//		Disk:      folder,
//		Messenger: messenger,
//		Address:   "10.0.1.4:7001",
//		Peers:     []string{"10.0.1.4:7001", "10.0.2.4:7001", "10.0.3.4:7001"},
//	}
//	go control.Run(ctx)
//	result, err := control.Propose(ctx, command)
//	err = control.Read(ctx, func(machine *ledger.Machine) { ... })
package replica
