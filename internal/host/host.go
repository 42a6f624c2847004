// Package host assembles one magnoliad process. The data plane, on hosts with a
// local target, is the target's node and its registry client. The control
// plane, on hosts with a data folder, is a replica of the replicated state with
// the registry that nodes subscribe to. The package also opens the listeners
// for peers, callers, the target, operators and the platform.
//
// Run and Reload may be called from different goroutines; Reload by one
// goroutine at a time.
//
// # Usage
//
//	loaded, err := settings.Parse(text)
//	...
//	process := &host.Host{Settings: loaded, Logger: logger}
//	err = process.Run(ctx) // until ctx ends and requests in flight are finished
package host

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/adapter/certificate"
	"github.com/magnoliawall/magnoliawall/internal/adapter/control"
	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/node"
	"github.com/magnoliawall/magnoliawall/internal/port"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/settings"
)

// Host is one magnoliad process. The exported fields are set before Run.
type Host struct {
	Settings *settings.Settings
	Logger   *log.Logger
	// Platform is the adapter for the platform that runs this host; nil means none.
	Platform port.Platform
	// Dial opens connections to peers; nil means TCP.
	Dial func(ctx context.Context, address peer.Address) (net.Conn, error)
	// OnVersionActivated is called with each configuration version that is activated at the
	// node of a host with a target; it may be nil.
	OnVersionActivated func(version configuration.Version)

	place request.Place
	// startedAt has a monotonic clock reading; incarnation is the same time in Unix
	// milliseconds.
	startedAt        time.Time
	incarnation      uint64
	certificates     *certificate.Files
	transport        *peer.Transport
	configuration    *node.ConfigurationHolder
	controlPlane     *controlPlane
	dataPlane        *dataPlane
	executeOperation operator.OperateFunc
	replicaDirectory *peer.Directory
	drain            context.CancelFunc
	// reloaded holds the settings of the last reload; nil before the first one.
	reloaded   atomic.Pointer[settings.Settings]
	reloadLock sync.Mutex
}

// Run serves until the context ends, then finishes requests in flight.
func (host *Host) Run(ctx context.Context) error {
	host.reloadLock.Lock()
	ctx, host.drain = context.WithCancel(ctx)
	defer host.drain()
	err := host.prepare()
	host.reloadLock.Unlock()
	if err != nil {
		return err
	}
	defer func() { _ = host.transport.Close() }()
	group := run.Group{}
	// The node still needs these actors while it drains, so they outlive ctx.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := host.buildControlPlane(); err != nil {
		return err
	}
	// Actors are interrupted in the order in which they were added: the node
	// gives up its lease before the replica stops.
	if err := host.addDataPlane(ctx, background, &group); err != nil {
		return err
	}
	host.addControlPlane(background, &group)
	if err := host.addPlatform(&group); err != nil {
		return err
	}
	if err := host.addAdminServer(&group); err != nil {
		return err
	}
	if host.controlPlane != nil {
		if err := host.addPeerServer(ctx, background, &group); err != nil {
			return err
		}
	}
	if host.certificates != nil {
		addActor(background, &group, host.watchCertificate)
	}
	host.Logger.Info().Str("node", string(host.Settings.Node)).Str("domain", string(host.place.Domain)).Msg("host: started")
	stopping := context.AfterFunc(ctx, func() {
		host.Logger.Info().Str("node", string(host.Settings.Node)).Msg("host: stopping; no new requests are accepted")
	})
	defer stopping()
	err = group.Run()
	host.Logger.Info().Str("node", string(host.Settings.Node)).Msg("host: stopped")
	return err
}

func (host *Host) prepare() error {
	host.place = request.Place{Region: host.Settings.Region, Domain: host.Settings.FailureDomain}
	host.startedAt = time.Now()
	host.incarnation = uint64(host.startedAt.UnixMilli())
	host.configuration = node.NewConfigurationHolder(node.NoConfiguration())
	host.executeOperation = host.forwardOperation
	host.replicaDirectory = host.newReplicaDirectory()
	host.transport = &peer.Transport{
		Self:     peer.Hello{Node: host.Settings.Node, Place: host.place, Service: host.Settings.Service, Incarnation: host.incarnation},
		Handlers: make(map[peer.StreamKind]peer.Handler),
		Dial:     host.Dial,
		Logger:   host.Logger,
	}
	return host.configureTLS()
}

// configureTLS sets up mutual TLS between peers, unless plaintext is allowed.
func (host *Host) configureTLS() error {
	security := host.Settings.Security
	if security.Plaintext() {
		return nil
	}
	host.certificates = &certificate.Files{Authority: security.Authority, Certificate: security.Certificate, Key: security.Key}
	if err := host.certificates.Load(); err != nil {
		return err
	}
	if err := host.certificates.CheckIdentity(string(host.Settings.Node), certificate.RoleNode); err != nil {
		return err
	}
	host.transport.ServerTLS = host.certificates.ServerConfig(certificate.RoleNode)
	host.transport.ClientTLS = host.certificates.ClientConfig(certificate.RoleNode)
	host.transport.Identify = checkPeerIdentity
	return nil
}

var errOtherNode = errors.New("hello and certificate name different nodes")

func checkPeerIdentity(state tls.ConnectionState, hello peer.Hello) error {
	name := state.PeerCertificates[0].Subject.CommonName
	if name != string(hello.Node) {
		return fmt.Errorf("%w: %s and %s", errOtherNode, hello.Node, name)
	}
	return nil
}

// newReplicaDirectory lists the addresses of the replicas, this host's own one
// first. If the replicas form a group from their seeds, the reconciler updates
// the directory with the members of the group.
func (host *Host) newReplicaDirectory() *peer.Directory {
	directory := &peer.Directory{Self: host.Settings.Node, Domain: host.place.Domain, SortByHash: host.Settings.OnPlatform()}
	directory.SetSeeds(host.replicaAddresses())
	return directory
}

func listen(address settings.Address) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, fmt.Errorf("listen on %s (is another process using it?): %w", address, err)
	}
	return listener, nil
}

// addPeerServer serves peers on a host with a replica. Without a target the
// listener closes when ctx ends, else when background does. Open streams last
// until background ends, so that the replica can still send its last messages.
func (host *Host) addPeerServer(ctx, background context.Context, group *run.Group) error {
	listener, err := listen(host.Settings.Listen.Peers)
	if err != nil {
		return err
	}
	if host.dataPlane != nil {
		ctx = background
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	group.Add(func() error {
		defer stop()
		err := host.transport.Serve(background, listener)
		if ctx.Err() != nil {
			return nil
		}
		return err
	}, func(error) { _ = listener.Close() })
	return nil
}

func logLevel(level settings.LogLevel) log.Level {
	return log.ParseLevel(string(level))
}

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 2 * time.Second
	// replicaAttemptTimeout is longer than an election takes.
	replicaAttemptTimeout = 3 * time.Second
)

// addAdminServer serves operator requests, metrics and health checks.
func (host *Host) addAdminServer(group *run.Group) error {
	listener, err := listen(host.Settings.Listen.Admin)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("POST /v1/{verb}", operator.Handler(host.operate))
	host.addMonitoring(mux)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ErrorLog: host.Logger.Std("admin: ", 0)}
	if host.certificates != nil {
		listener = tls.NewListener(listener, host.certificates.ServerConfig(certificate.RoleOperator, certificate.RoleNode))
	}
	group.Add(func() error {
		return server.Serve(listener)
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return nil
}

// operate answers an operator request by the local replica, or forwards it to
// another one.
func (host *Host) operate(ctx context.Context, verb string, body []byte) (int, []byte) {
	return host.executeOperation(ctx, verb, body)
}

func (host *Host) forwardOperation(ctx context.Context, verb string, body []byte) (int, []byte) {
	client := &control.Client{Transport: host.transport, Replicas: host.replicaDirectory, AttemptTimeout: replicaAttemptTimeout}
	status, answer, err := client.Operate(ctx, verb, body)
	if err != nil {
		return http.StatusServiceUnavailable, []byte(`{"error":"this node reached no replica; ask a node of another failure domain","in-doubt":true}`)
	}
	return status, answer
}
