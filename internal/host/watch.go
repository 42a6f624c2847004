package host

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/node"
)

const (
	// scrapeTimeout bounds the wait for a replica that is busy with its disk.
	scrapeTimeout = time.Second
	// expiryNotice is how long before its end a certificate is warned of.
	expiryNotice     = 30 * 24 * time.Hour
	certificateCheck = time.Minute
)

// addWatching serves metrics and health checks, with a target and without.
func (ho *Host) addWatching(mux *http.ServeMux) {
	mux.HandleFunc("GET /metrics", ho.serveMetrics)
	if ho.site != nil {
		mux.Handle("/", ho.site.node.AdminHandler())
		return
	}
	mux.HandleFunc("GET /healthz", node.ServeHealth)
	mux.HandleFunc("GET /readyz", ho.serveReady)
}

// serveReady tells whether a replica without a target beside it has a version
// and a leader.
func (ho *Host) serveReady(writer http.ResponseWriter, incoming *http.Request) {
	ctx, cancel := context.WithTimeout(incoming.Context(), scrapeTimeout)
	defer cancel()
	status, err := ho.seat.replica.Status(ctx)
	switch {
	case err != nil:
		http.Error(writer, "the replica does not answer", http.StatusServiceUnavailable)
	case status.Removed:
		http.Error(writer, "the replica's id was removed", http.StatusServiceUnavailable)
	case status.Leader == quorum.None:
		http.Error(writer, "no leader is known", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(writer, "ready\n")
	}
}

func (ho *Host) serveMetrics(writer http.ResponseWriter, incoming *http.Request) {
	ctx, cancel := context.WithTimeout(incoming.Context(), scrapeTimeout)
	defer cancel()
	page := &bytes.Buffer{}
	if ho.site != nil {
		ho.site.node.WriteMetrics(page)
		gauge(page, "configuration_version", uint64(ho.holder.Current().Version))
	}
	if ho.seat != nil {
		ho.seat.writeMetrics(ctx, page)
	}
	if ho.files != nil {
		ho.writeCertificate(page)
	}
	metrics.WriteProcessMetrics(page)
	_, _ = page.WriteTo(writer)
}

func (ho *Host) writeCertificate(page io.Writer) {
	gauge(page, "certificate_expiry_timestamp_seconds", uint64(ho.files.Expiry().Unix()))
	gauge(page, "certificate_reload_failed", flag(ho.files.Failed() != nil))
}

// writeMetrics writes where the replica stands. One that does not answer in
// time leaves its figures out, and says so.
func (se *seat) writeMetrics(ctx context.Context, page io.Writer) {
	status, err := se.replica.Status(ctx)
	var state ledgerState
	if err == nil {
		err = se.Peek(ctx, state.read)
	}
	gauge(page, "replica_up", flag(err == nil))
	if err == nil {
		writeReplica(page, status)
		state.write(page)
	}
	se.writeRegistry(ctx, page)
}

func writeReplica(page io.Writer, status quorum.Status) {
	for role := quorum.Follower; role <= quorum.Leader; role++ {
		gauge(page, fmt.Sprintf("replica_role{role=%q}", role), flag(role == status.Role))
	}
	gauge(page, "replica_leader_known", flag(status.Leader != quorum.None))
	gauge(page, "replica_removed", flag(status.Removed))
	gauge(page, "replica_members", uint64(len(status.Membership.Members)))
	gauge(page, "replica_term", uint64(status.Term))
	gauge(page, "replica_commit_index", uint64(status.CommitIndex))
	gauge(page, "replica_last_index", uint64(status.LastIndex))
	gauge(page, "replica_snapshot_index", uint64(status.SnapshotIndex))
}

// ledgerState is what the metrics tell of the state of the log.
type ledgerState struct {
	applied, version      uint64
	claims, open, inDoubt int
}

func (state *ledgerState) read(machine *ledger.Machine) {
	version, _ := machine.CurrentVersion()
	state.applied, state.version = machine.Applied(), uint64(version)
	state.claims = machine.ClaimCount()
	for _, claim := range machine.OpenClaims() {
		state.open++
		if claim.InDoubt {
			state.inDoubt++
		}
	}
}

func (state *ledgerState) write(page io.Writer) {
	gauge(page, "replica_applied_index", state.applied)
	gauge(page, "replica_version", state.version)
	gauge(page, "claims", uint64(state.claims))
	gauge(page, "claims_open", uint64(state.open))
	gauge(page, "claims_in_doubt", uint64(state.inDoubt))
}

func (se *seat) writeRegistry(ctx context.Context, page io.Writer) {
	leases, err := se.registry.Leases(ctx)
	if err != nil {
		return
	}
	domains, err := se.registry.Status(ctx)
	if err != nil {
		return
	}
	silent, unreached := 0, 0
	for _, domain := range domains {
		silent += len(domain.Silent)
		unreached += int(flag(domain.OutOfReach))
	}
	lost, err := se.registry.Silent(ctx)
	if err != nil {
		return
	}
	gauge(page, "registry_silent_replicas", uint64(len(lost)))
	gauge(page, "registry_leases", uint64(leases))
	gauge(page, "registry_silent_nodes", uint64(silent))
	gauge(page, "registry_domains_out_of_reach", uint64(unreached))
}

func gauge(page io.Writer, name string, value uint64) {
	metrics.WriteGaugeUint64(page, "magnoliawall_"+name, value)
}

func flag(holds bool) uint64 {
	if holds {
		return 1
	}
	return 0
}

// watchCertificate looks at the files also while no connection is made, and
// logs what an operator has to do.
func (ho *Host) watchCertificate(ctx context.Context) error {
	ticker := time.NewTicker(certificateCheck)
	defer ticker.Stop()
	for {
		ho.checkCertificate(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (ho *Host) checkCertificate(now time.Time) {
	expiry := ho.files.Expiry()
	if err := ho.files.Failed(); err != nil {
		ho.Logger.Error().Err(err).Msg("certificate: the files were not read again, those of before stay in use")
	}
	switch left := expiry.Sub(now); {
	case left <= 0:
		ho.Logger.Error().Time("expiry", expiry).Msg("certificate: it is expired, put a new one in its place")
	case left < expiryNotice:
		ho.Logger.Warn().Time("expiry", expiry).Msg("certificate: it expires soon, put a new one in its place")
	}
}
