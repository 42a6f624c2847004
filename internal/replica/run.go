package replica

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

// Run opens the disk and serves until the context ends or the replica must
// stop, as after a failed sync. A leader first hands over the lead.
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
		if err := replica.turn(ctx.Done(), ticks); err != nil {
			return err
		}
	}
	return replica.leave(ticks)
}

// leave hands over the lead of a replica that stops, for as long as an
// election would take at most.
func (replica *Replica[M]) leave(ticks <-chan time.Time) error {
	if replica.core.Status().Role != quorum.Leader || replica.core.TransferLeadership(replica.core.Successor()) != nil {
		return nil
	}
	enough := make(chan struct{})
	stop := time.AfterFunc(replica.Tick*time.Duration(2*replica.ElectionTicks), func() { close(enough) })
	defer stop.Stop()
	for replica.core.Status().Role == quorum.Leader {
		if err := replica.turn(enough, ticks); err != nil {
			return err
		}
		select {
		case <-enough:
			return nil
		default:
		}
	}
	return nil
}

// turn waits for one input, takes in all that are there, and carries out what
// follows from them together.
func (replica *Replica[M]) turn(done <-chan struct{}, ticks <-chan time.Time) error {
	select {
	case <-done:
	case <-ticks:
		replica.tick()
	case message := <-replica.Messenger.Received():
		replica.step(message)
	case request := <-replica.requests:
		request()
	}
	replica.takeIn()
	return replica.carryOut()
}

func (replica *Replica[M]) takeIn() {
	for range batchInputs {
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
	replica.handOverPause--
	replica.greet()
	replica.grow()
	replica.resend()
	replica.reads.tick(replica.ElectionTicks)
}

func (replica *Replica[M]) step(message *quorumpb.Message) {
	if address := message.GetSenderAddress(); address != "" {
		replica.learned[quorum.ReplicaID(message.GetFrom())] = address
	}
	replica.hear(quorum.ReplicaID(message.GetFrom()))
	if greeting := message.GetGreeting(); greeting != nil {
		replica.stepGreeting(message, greeting)
		return
	}
	replica.core.Step(message)
}

// carryOut does what the core asks for until nothing is left. After a failure
// it does nothing more.
func (replica *Replica[M]) carryOut() error {
	if replica.failure == nil {
		replica.fail(replica.carryOutAll())
	}
	return replica.failure
}

func (replica *Replica[M]) carryOutAll() error {
	replica.startReads()
	for {
		output := replica.core.TakeOutput()
		if output.Empty() {
			replica.noteRole()
			replica.runReads()
			return replica.compact()
		}
		if output.Fault != nil {
			return output.Fault
		}
		if err := replica.carryOutOne(output); err != nil {
			return err
		}
		replica.core.OutputDone(output)
	}
}

func (replica *Replica[M]) carryOutOne(output quorum.Output) error {
	replica.send(output.Messages)
	if output.Snapshot != nil {
		if err := replica.install(*output.Snapshot); err != nil {
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
	replica.noteProposals(output.ProposalResults)
	replica.noteReads(output.ReadResults)
	return nil
}

func (replica *Replica[M]) send(messages []*quorumpb.Message) {
	membership := replica.core.Status().Membership
	for _, message := range messages {
		to := quorum.ReplicaID(message.GetTo())
		member, known := membership.Find(to)
		if !known || member.Address == "" {
			member.Address = replica.learned[to]
		}
		if member.Address == "" {
			continue
		}
		message.SenderAddress = replica.Address
		replica.Messenger.Send(member.Address, message)
	}
}

func (replica *Replica[M]) apply(entry quorum.Entry) error {
	replica.applied = entry.Index
	replica.appliedBytes += len(entry.Data)
	if waiting, ok := replica.changes[entry.Index]; ok {
		delete(replica.changes, entry.Index)
		waiting.finish(entry)
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
		replica.resolve(command.GetNumber(), result)
	}
	return nil
}

func (replica *Replica[M]) noteRole() {
	status := replica.core.Status()
	if status.Removed && !replica.removed && replica.Logger != nil {
		replica.removed = true
		replica.Logger.Error().Msg("replica: this replica's id was removed, it takes part in nothing: start it with an empty data folder")
	}
	if status.Role != replica.lastRole {
		replica.lastRole = status.Role
		replica.info("%s in term %d", status.Role, status.Term)
	}
}
