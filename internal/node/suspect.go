package node

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const probeTimeout = 200 * time.Millisecond

// fingerprint returns an xxhash of kind, path, idempotency key, and length and
// buffered part of the body; the rest of a large body is not read yet.
func fingerprint(kind request.KindName, path, key string, body *callBody) request.Fingerprint {
	hash := xxhash.New()
	for _, part := range []string{string(kind), path, key} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.WriteString(strconv.FormatInt(body.length, 10))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(body.buffered)
	return request.Fingerprint(hash.Sum64())
}

// restrictSuspect restricts a call by the crashes that it is known to have been part
// of.
func (node *Node) restrictSuspect(now time.Time, outbound *outboundCall, call *balancer.Call) *web.Refusal {
	ruling := node.Guard.Decide(now, outbound.fingerprint)
	switch ruling.Restriction {
	case quarantine.Unrestricted:
		return nil
	case quarantine.Refused:
		return web.NewRefusal(request.Quarantined, "")
	case quarantine.OtherDomains:
		call.AvoidDomains = ruling.ExcludedDomains
	}
	call.SingleTarget = true
	call.AvoidNodes = ruling.ExcludedNodes
	outbound.suspect = true
	return nil
}

// admitSuspect asks the quarantine guard before a call is handed to the target. A
// suspect waits until no other suspect runs.
func (inbound *inboundCall) admitSuspect(ctx context.Context) *web.Refusal {
	node := inbound.node
	ticket := quarantine.Ticket(inbound.work.Call)
	for {
		wake := node.suspects.add(ticket)
		switch node.Guard.Admit(time.Now(), inbound.fingerprint, ticket) {
		case quarantine.Run:
			node.suspects.remove(ticket)
			return nil
		case quarantine.Refuse:
			node.suspects.remove(ticket)
			return web.NewRefusal(request.Quarantined, "")
		}
		select {
		case <-wake:
		case <-ctx.Done():
			node.Guard.CancelWaiting(ticket)
			node.suspects.remove(ticket)
			return abandonedRefusal(ctx)
		}
	}
}

// finishSuspect ends a call that the guard admitted.
func (inbound *inboundCall) finishSuspect(completed bool) {
	ticket := quarantine.Ticket(inbound.work.Call)
	inbound.node.suspects.wake(inbound.node.Guard.Finish(time.Now(), ticket, completed))
}

// probeTarget reports whether the target's process is still there, which a broken
// connection alone does not tell. If it is gone, all calls in flight become suspects.
// The given call is one that the target had.
func (node *Node) probeTarget(call request.CallID) (up bool) {
	conn, err := net.DialTimeout("tcp", node.Target.Address, probeTimeout)
	if err == nil {
		_ = conn.Close()
		return true
	}
	report, firstReport := node.Guard.TargetDied(time.Now(), quarantine.Ticket(call))
	if !firstReport {
		return false
	}
	node.counters.targetDeaths.Inc()
	node.suspects.wake(node.Guard.TakeWaiting())
	if node.OnTargetDeath != nil && len(report.Fingerprints) > 0 {
		node.OnTargetDeath(report)
	}
	return false
}
