package node

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/core/choice"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const probeTimeout = 200 * time.Millisecond

// fingerprint is a hash over kind, path, idempotency key and body; of a large
// body, which is not read yet, only the length and what is held count.
func fingerprint(kind request.KindName, path, key string, body *callBody) request.Fingerprint {
	hash := xxhash.New()
	for _, part := range []string{string(kind), path, key} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.WriteString(strconv.FormatInt(body.length, 10))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(body.held)
	return request.Fingerprint(hash.Sum64())
}

// judgeSuspect limits a call by what is known of crashes that it was part of.
func (no *Node) judgeSuspect(now time.Time, og *outgoing, call *choice.Call) *web.Refusal {
	ruling := no.Guard.Judge(now, og.fingerprint)
	switch ruling.Verdict {
	case quarantine.Free:
		return nil
	case quarantine.Refused:
		return web.NewRefusal(request.Quarantined, "")
	case quarantine.Elsewhere:
		call.AvoidDomains = ruling.Domains
	}
	call.Alone = true
	call.AvoidNodes = ruling.Nodes
	og.suspect = true
	return nil
}

// admitSuspect asks the guard before a call is handed to the target. A suspect
// waits until no other one runs.
func (ar *arrival) admitSuspect(ctx context.Context) *web.Refusal {
	no := ar.node
	ticket := quarantine.Ticket(ar.work.Call)
	for {
		wake := no.suspects.expect(ticket)
		switch no.Guard.Admit(time.Now(), ar.fingerprint, ticket) {
		case quarantine.Run:
			no.suspects.forget(ticket)
			return nil
		case quarantine.Refuse:
			no.suspects.forget(ticket)
			return web.NewRefusal(request.Quarantined, "")
		}
		select {
		case <-wake:
		case <-ctx.Done():
			no.Guard.Leave(ticket)
			no.suspects.forget(ticket)
			return leftRefusal(ctx)
		}
	}
}

// finishSuspect ends a call that the guard admitted.
func (ar *arrival) finishSuspect(completed bool) {
	ticket := quarantine.Ticket(ar.work.Call)
	ar.node.suspects.wake(ar.node.Guard.Finish(time.Now(), ticket, completed))
}

// checkTarget tells whether the target's process is still there, as one that only
// broke one connection is, and makes suspects of all calls in flight when it is
// gone. The call is one that the target had.
func (no *Node) checkTarget(call request.CallID) (there bool) {
	conn, err := net.DialTimeout("tcp", no.Target.Address, probeTimeout)
	if err == nil {
		_ = conn.Close()
		return true
	}
	report, first := no.Guard.TargetDied(time.Now(), quarantine.Ticket(call))
	if !first {
		return false
	}
	no.counters.deaths.Inc()
	no.suspects.wake(no.Guard.Waiting())
	if no.OnReport != nil && len(report.Fingerprints) > 0 {
		no.OnReport(report)
	}
	return false
}
