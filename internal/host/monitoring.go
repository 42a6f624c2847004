package host

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/node"
	"github.com/magnoliawall/magnoliawall/internal/replica"
)

const (
	// scrapeTimeout bounds the wait for a replica that is busy with disk writes.
	scrapeTimeout = time.Second
	// expiryWarningPeriod is the time before a certificate's expiry in which a
	// warning is logged.
	expiryWarningPeriod      = 30 * 24 * time.Hour
	certificateCheckInterval = time.Minute
)

// addMonitoring adds the metrics endpoint and the health checks.
func (host *Host) addMonitoring(mux *http.ServeMux) {
	mux.HandleFunc("GET /metrics", host.serveMetrics)
	if host.dataPlane != nil {
		mux.Handle("/", host.dataPlane.node.AdminHandler())
		return
	}
	mux.HandleFunc("GET /healthz", node.ServeHealth)
	mux.HandleFunc("GET /readyz", host.serveReady)
}

// serveReady is the readiness check of a host without a target: its replica must
// not be removed and must know a leader.
func (host *Host) serveReady(writer http.ResponseWriter, incoming *http.Request) {
	ctx, cancel := context.WithTimeout(incoming.Context(), scrapeTimeout)
	defer cancel()
	status, err := host.controlPlane.replica.Status(ctx)
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

func (host *Host) serveMetrics(writer http.ResponseWriter, incoming *http.Request) {
	ctx, cancel := context.WithTimeout(incoming.Context(), scrapeTimeout)
	defer cancel()
	page := &bytes.Buffer{}
	if host.dataPlane != nil {
		host.dataPlane.node.WriteMetrics(page)
		writeGauge(page, "configuration_version", uint64(host.configuration.Current().Version))
		writeGauge(page, "node_known_targets", uint64(host.dataPlane.balancer.TotalTargetCount()))
		if lost, err := host.dataPlane.registryClient.ReplicaWithoutQuorum(ctx); err == nil {
			writeGauge(page, "node_replica_without_quorum", gaugeValue(lost))
		} else {
			host.logMissingMetrics(err, "node_replica_without_quorum")
		}
	}
	if host.controlPlane != nil {
		host.controlPlane.writeMetrics(ctx, page)
	}
	if host.certificates != nil {
		host.writeCertificateMetrics(page)
	}
	metrics.WriteProcessMetrics(page)
	_, _ = page.WriteTo(writer)
}

// logMissingMetrics logs that a page of metrics lacks some, and why.
func (host *Host) logMissingMetrics(err error, names string) {
	host.Logger.Warn().Err(err).Str("metrics", names).Msg("metrics: some are left out of this page")
}

func (host *Host) writeCertificateMetrics(page io.Writer) {
	writeGauge(page, "certificate_expiry_timestamp_seconds", uint64(host.certificates.Expiry().Unix()))
	writeGauge(page, "certificate_reload_failed", gaugeValue(host.certificates.ReloadError() != nil))
}

// writeMetrics writes the metrics of the replica and the registry. If the replica
// does not answer in time, replica_up is 0 and its other metrics are left out.
func (plane *controlPlane) writeMetrics(ctx context.Context, page io.Writer) {
	status, err := plane.replica.Status(ctx)
	var state ledgerState
	if err == nil {
		err = plane.Peek(ctx, state.collect)
	}
	var group replica.GroupState
	if err == nil {
		group, err = plane.replica.Group(ctx)
	}
	writeGauge(page, "replica_up", gaugeValue(err == nil))
	if err == nil {
		writeReplicaMetrics(page, status)
		writeGroupMetrics(page, group)
		state.write(page)
	} else {
		plane.host.logMissingMetrics(err, "replica")
	}
	plane.writeRegistryMetrics(ctx, page)
}

func writeReplicaMetrics(page io.Writer, status quorum.Status) {
	for role := quorum.Follower; role <= quorum.Leader; role++ {
		writeGauge(page, fmt.Sprintf("replica_role{role=%q}", role), gaugeValue(role == status.Role))
	}
	writeGauge(page, "replica_leader_known", gaugeValue(status.Leader != quorum.None))
	writeGauge(page, "replica_removed", gaugeValue(status.Removed))
	writeGauge(page, "replica_members", uint64(len(status.Membership.Members)))
	writeGauge(page, "replica_term", uint64(status.Term))
	writeGauge(page, "replica_commit_index", uint64(status.CommitIndex))
	writeGauge(page, "replica_last_index", uint64(status.LastIndex))
	writeGauge(page, "replica_snapshot_index", uint64(status.SnapshotIndex))
}

func writeGroupMetrics(page io.Writer, group replica.GroupState) {
	writeGauge(page, "replica_without_log", gaugeValue(group.WithoutLog))
	writeGauge(page, "replica_voters", uint64(group.Voters))
	writeGauge(page, "replica_voters_needed", uint64(group.Needed))
	writeGauge(page, "replica_voters_in_contact", uint64(group.InContact))
	writeGauge(page, "replica_learners", uint64(group.Learners))
	writeGauge(page, "replica_learner_lag", uint64(group.Lag))
	writeGauge(page, "replica_change_waiting", gaugeValue(group.Waiting != ""))
}

// ledgerState holds the metrics of the replicated state.
type ledgerState struct {
	applied, version      uint64
	claims, open, inDoubt int
}

func (state *ledgerState) collect(machine *ledger.Machine) {
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
	writeGauge(page, "replica_applied_index", state.applied)
	writeGauge(page, "replica_version", state.version)
	writeGauge(page, "claims", uint64(state.claims))
	writeGauge(page, "claims_open", uint64(state.open))
	writeGauge(page, "claims_in_doubt", uint64(state.inDoubt))
}

func (plane *controlPlane) writeRegistryMetrics(ctx context.Context, page io.Writer) {
	leases, leasesErr := plane.registry.LeaseCount(ctx)
	domains, domainsErr := plane.registry.Status(ctx)
	lost, lostErr := plane.registry.SilentReplicas(ctx)
	if err := errors.Join(leasesErr, domainsErr, lostErr); err != nil {
		plane.host.logMissingMetrics(err, "registry")
		return
	}
	silent, unreached := 0, 0
	for _, domain := range domains {
		silent += len(domain.Silent)
		unreached += int(gaugeValue(domain.OutOfReach))
	}
	writeGauge(page, "replica_quorum_lost", gaugeValue(plane.reconciler.quorumLost()))
	writeGauge(page, "registry_silent_replicas", uint64(len(lost)))
	writeGauge(page, "registry_leases", uint64(leases))
	writeGauge(page, "registry_silent_nodes", uint64(silent))
	writeGauge(page, "registry_domains_out_of_reach", uint64(unreached))
}

func writeGauge(page io.Writer, name string, value uint64) {
	metrics.WriteGaugeUint64(page, "magnoliawall_"+name, value)
}

func gaugeValue(holds bool) uint64 {
	if holds {
		return 1
	}
	return 0
}

// watchCertificate checks the certificate periodically, also while no connections
// are made, and logs a failed reload and the coming expiry.
func (host *Host) watchCertificate(ctx context.Context) error {
	ticker := time.NewTicker(certificateCheckInterval)
	defer ticker.Stop()
	for {
		host.checkCertificate(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (host *Host) checkCertificate(now time.Time) {
	expiry := host.certificates.Expiry()
	if err := host.certificates.ReloadError(); err != nil {
		host.Logger.Error().Err(err).Msg("certificate: reload failed; the certificate that was loaded before stays in use")
	}
	switch left := expiry.Sub(now); {
	case left <= 0:
		host.Logger.Error().Time("expiry", expiry).Msg("certificate: expired; replace it")
	case left < expiryWarningPeriod:
		host.Logger.Warn().Time("expiry", expiry).Msg("certificate: expires soon; replace it")
	}
}
