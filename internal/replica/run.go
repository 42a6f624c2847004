package replica

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// Run opens the disk and serves until the context ends, or until the replica must
// stop, as after a failed sync. When the context ends a leader first transfers
// leadership.
func (replica *Replica[M]) Run(ctx context.Context) error {
	replica.init()
	defer close(replica.stopped)
	if err := replica.open(); err != nil {
		return err
	}
	ticks := replica.Ticks
	if ticks == nil {
		ticker := time.NewTicker(replica.Tick)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for ctx.Err() == nil {
		if err := replica.runOnce(ctx.Done(), ticks); err != nil {
			return err
		}
	}
	return replica.transferLeadership(ticks)
}

// transferLeadership transfers leadership when the replica stops, and waits for that
// at most the longest election timeout.
func (replica *Replica[M]) transferLeadership(ticks <-chan time.Time) error {
	if replica.core.Status().Role != quorum.Leader || replica.core.TransferLeadership(replica.core.Successor()) != nil {
		return nil
	}
	timedOut := make(chan struct{})
	stop := time.AfterFunc(replica.Tick*time.Duration(2*replica.ElectionTicks), func() { close(timedOut) })
	defer stop.Stop()
	for replica.core.Status().Role == quorum.Leader {
		if err := replica.runOnce(timedOut, ticks); err != nil {
			return err
		}
		select {
		case <-timedOut:
			return nil
		default:
		}
	}
	return nil
}

// runOnce waits for one input, processes it with all others that are pending, and
// then processes the output of the core.
func (replica *Replica[M]) runOnce(done <-chan struct{}, ticks <-chan time.Time) error {
	select {
	case <-done:
	case <-ticks:
		replica.tick()
	case message := <-replica.Messenger.Received():
		replica.step(message)
	case request := <-replica.requests:
		request()
	}
	replica.drainInputs()
	return replica.process()
}

func (replica *Replica[M]) drainInputs() {
	for range maxBatchInputs {
		select {
		case message := <-replica.Messenger.Received():
			replica.step(message)
		case request := <-replica.requests:
			request()
		default:
			return
		}
	}
}

func (replica *Replica[M]) tick() {
	replica.core.Tick()
	replica.transferPauseTicks--
	replica.askForLogs()
	replica.manageMembership()
	replica.logGroup()
	replica.resendProposals()
	replica.reads.tick(replica.ElectionTicks)
}

func (replica *Replica[M]) step(message *quorumpb.Message) {
	if address := message.GetSenderAddress(); address != "" {
		replica.senderAddresses[quorum.ReplicaID(message.GetFrom())] = address
	}
	replica.recordHeard(quorum.ReplicaID(message.GetFrom()))
	if greeting := message.GetGreeting(); greeting != nil {
		replica.handleGreeting(message, greeting)
		return
	}
	replica.core.Step(message)
}

// process handles the output of the core until there is none left. After a failure
// it does nothing.
func (replica *Replica[M]) process() error {
	if replica.failure == nil {
		replica.fail(replica.processOutputs())
	}
	return replica.failure
}

func (replica *Replica[M]) processOutputs() error {
	replica.startReads()
	for {
		output := replica.core.TakeOutput()
		if output.Empty() {
			replica.logRoleChange()
			replica.runGrantedReads()
			return replica.compact()
		}
		if output.Fault != nil {
			return output.Fault
		}
		if err := replica.processOutput(output); err != nil {
			return err
		}
		replica.core.OutputDone(output)
	}
}

func (replica *Replica[M]) processOutput(output quorum.Output) error {
	replica.send(output.Messages)
	if output.Snapshot != nil {
		if err := replica.installSnapshot(*output.Snapshot); err != nil {
			return err
		}
	}
	if err := replica.store.Save(output.HardState, output.Entries); err != nil {
		return err
	}
	replica.send(output.MessagesAfterSync)
	for _, entry := range output.CommittedEntries {
		if err := replica.apply(entry); err != nil {
			return err
		}
	}
	replica.handleProposalResults(output.ProposalResults)
	replica.handleReadResults(output.ReadResults)
	return nil
}

func (replica *Replica[M]) send(messages []*quorumpb.Message) {
	membership := replica.core.Status().Membership
	for _, message := range messages {
		to := quorum.ReplicaID(message.GetTo())
		member, known := membership.Find(to)
		if !known || member.Address == "" {
			member.Address = replica.senderAddresses[to]
		}
		if member.Address == "" {
			continue
		}
		message.SenderAddress = replica.Address
		replica.Messenger.Send(member.Address, message)
	}
}

func (replica *Replica[M]) apply(entry quorum.Entry) error {
	replica.appliedIndex = entry.Index
	replica.appliedBytes += len(entry.Data)
	if pending, ok := replica.pendingChanges[entry.Index]; ok {
		delete(replica.pendingChanges, entry.Index)
		pending.finish(entry)
	}
	if entry.Kind != quorum.CommandEntry {
		return nil
	}
	command := &quorumpb.Command{}
	if err := proto.Unmarshal(entry.Data, command); err != nil {
		return err
	}
	result, err := replica.Machine.Apply(uint64(entry.Index), command.GetData())
	if err != nil {
		return err
	}
	if quorum.ReplicaID(command.GetOrigin()) == replica.core.ID {
		replica.completeProposal(command.GetNumber(), result)
	}
	return nil
}

func (replica *Replica[M]) logRoleChange() {
	status := replica.core.Status()
	if status.Removed && !replica.removalLogged && replica.Logger != nil {
		replica.removalLogged = true
		replica.Logger.Error().Msg("replica: the id of this replica was removed from the group; start this host with an empty data folder to join again")
	}
	if status.Role != replica.loggedRole {
		replica.loggedRole = status.Role
		replica.logInfo("now %s in term %d", status.Role, status.Term)
	}
}
