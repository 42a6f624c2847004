// Package host joins everything that runs in one magnoliad process: the node of
// the local target, on hosts with a disk a replica of the control state, and
// the ports of peers, callers, the target and operators.
//
// # Usage
//
//	loaded, err := settings.Read(text)
//	...
//	ho := &host.Host{Settings: loaded, Logger: logger}
//	err = ho.Run(ctx) // until ctx ends and everything in flight is done
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

// Host is one process. The exported fields are set before Run.
type Host struct {
	Settings *settings.Settings
	Logger   *log.Logger
	// Platform speaks with the platform that runs this host; nil is none.
	Platform port.Platform
	// Dial opens connections to peers; nil means TCP.
	Dial func(ctx context.Context, address peer.Address) (net.Conn, error)
	// InForce is told each version that comes into force at the node of a host
	// with a target; it may be nil.
	InForce func(version configuration.Version)

	place       request.Place
	incarnation uint64
	files       *certificate.Files
	transport   *peer.Transport
	holder      *node.ConfigurationHolder
	seat        *seat
	site        *site
	operations  operator.Operate
	replicas    *peer.Directory
	drain       context.CancelFunc
	// current holds the settings after a reload.
	current   atomic.Pointer[settings.Settings]
	reloading sync.Mutex
}

// Run serves until the context ends, then finishes what is in flight.
func (ho *Host) Run(ctx context.Context) error {
	ho.reloading.Lock()
	ctx, ho.drain = context.WithCancel(ctx)
	defer ho.drain()
	err := ho.prepare()
	ho.reloading.Unlock()
	if err != nil {
		return err
	}
	defer func() { _ = ho.transport.Close() }()
	group := run.Group{}
	// What the node needs while it drains ends only after it.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := ho.buildReplica(); err != nil {
		return err
	}
	// The parts end in this order: the replica outlives the node's lease.
	if err := ho.addSite(ctx, background, &group); err != nil {
		return err
	}
	ho.addReplica(background, &group)
	if err := ho.addPlatform(&group); err != nil {
		return err
	}
	if err := ho.addAdmin(&group); err != nil {
		return err
	}
	if ho.seat != nil {
		if err := ho.addPeers(ctx, background, &group); err != nil {
			return err
		}
	}
	if ho.files != nil {
		add(background, &group, ho.watchCertificate)
	}
	ho.Logger.Info().Str("node", string(ho.Settings.Node)).Str("domain", string(ho.place.Domain)).Msg("host: started")
	stopping := context.AfterFunc(ctx, func() {
		ho.Logger.Info().Str("node", string(ho.Settings.Node)).Msg("host: stopping, no new work is taken")
	})
	defer stopping()
	err = group.Run()
	ho.Logger.Info().Str("node", string(ho.Settings.Node)).Msg("host: stopped")
	return err
}

func (ho *Host) prepare() error {
	ho.place = request.Place{Region: ho.Settings.Region, Domain: ho.Settings.FailureDomain}
	ho.incarnation = uint64(time.Now().UnixMilli())
	ho.holder = node.NewConfigurationHolder(node.NoConfiguration())
	ho.operations = ho.operateRemote
	ho.replicas = ho.newDirectory()
	ho.transport = &peer.Transport{
		Self:     peer.Hello{Node: ho.Settings.Node, Place: ho.place, Service: ho.Settings.Service, Incarnation: ho.incarnation},
		Handlers: make(map[peer.Kind]peer.Handler),
		Dial:     ho.Dial,
		Logger:   ho.Logger,
	}
	return ho.secure()
}

// secure sets mutual TLS for the peers, unless plaintext is allowed.
func (ho *Host) secure() error {
	security := ho.Settings.Security
	if security.Plaintext() {
		return nil
	}
	ho.files = &certificate.Files{Authority: security.Authority, Certificate: security.Certificate, Key: security.Key}
	if err := ho.files.Load(); err != nil {
		return err
	}
	if err := ho.files.Fits(string(ho.Settings.Node), certificate.RoleNode); err != nil {
		return err
	}
	ho.transport.ServerTLS = ho.files.Server(certificate.RoleNode)
	ho.transport.ClientTLS = ho.files.Client(certificate.RoleNode)
	ho.transport.Identify = identify
	return nil
}

var errOtherNode = errors.New("hello names another node than the certificate")

func identify(state tls.ConnectionState, hello peer.Hello) error {
	name := state.PeerCertificates[0].Subject.CommonName
	if name != string(hello.Node) {
		return fmt.Errorf("%w: %s and %s", errOtherNode, hello.Node, name)
	}
	return nil
}

// newDirectory lists where replicas listen, the own one first. Where the
// replicas form by themselves, the list follows them.
func (ho *Host) newDirectory() *peer.Directory {
	directory := &peer.Directory{Self: ho.Settings.Node, Domain: ho.place.Domain, Spread: ho.Settings.OnPlatform()}
	directory.SetSeeds(ho.seedAddresses())
	return directory
}

func listen(address settings.Address) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, fmt.Errorf("listen at %s; is another process there? %w", address, err)
	}
	return listener, nil
}

// addPeers serves the peers of a host with a replica. Without a target it ends
// with ctx. Streams that are open go on until background ends, so that the
// replica can still tell what it has to.
func (ho *Host) addPeers(ctx, background context.Context, group *run.Group) error {
	listener, err := listen(ho.Settings.Listen.Peers)
	if err != nil {
		return err
	}
	if ho.site != nil {
		ctx = background
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	group.Add(func() error {
		defer stop()
		err := ho.transport.Serve(background, listener)
		if ctx.Err() != nil {
			return nil
		}
		return err
	}, func(error) { _ = listener.Close() })
	return nil
}

func levelOf(level settings.LogLevel) log.Level {
	return log.ParseLevel(string(level))
}

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 2 * time.Second
	// operateTimeout outlasts an election.
	operateTimeout = 3 * time.Second
)

// addAdmin serves operators, metrics and health checks.
func (ho *Host) addAdmin(group *run.Group) error {
	listener, err := listen(ho.Settings.Listen.Admin)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("POST /v1/{verb}", operator.Handler(ho.operate))
	ho.addWatching(mux)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ErrorLog: ho.Logger.Std("admin: ", 0)}
	if ho.files != nil {
		listener = tls.NewListener(listener, ho.files.Server(certificate.RoleOperator, certificate.RoleNode))
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

// operate answers an operator here, or passes the request to a replica.
func (ho *Host) operate(ctx context.Context, verb string, body []byte) (int, []byte) {
	return ho.operations(ctx, verb, body)
}

func (ho *Host) operateRemote(ctx context.Context, verb string, body []byte) (int, []byte) {
	client := &control.Client{Transport: ho.transport, Replicas: ho.replicas, AttemptTimeout: operateTimeout}
	status, answer, err := client.Operate(ctx, verb, body)
	if err != nil {
		return http.StatusServiceUnavailable, []byte(`{"error":"no replica could be reached from this node; ask a node of another failure domain","in-doubt":true}`)
	}
	return status, answer
}
