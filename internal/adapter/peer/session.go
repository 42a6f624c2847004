package peer

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/hashicorp/yamux"
)

// session is the outgoing connection to one address. err, mux and remote are set
// before ready is closed.
type session struct {
	ready  chan struct{}
	err    error
	mux    *yamux.Session
	remote Hello

	// kept says that the connection is kept while it carries no streams. It is guarded by
	// the lock of the transport.
	kept bool

	// lock guards the fields below.
	lock        sync.Mutex
	idleStreams [kindCount][]*Stream
	// openStreams holds the streams of kinds other than KindCall.
	openStreams map[*Stream]struct{}
	// silent says that the peer did not answer a ping.
	silent bool
}

var errSilent = errors.New("the peer does not answer")

// register records an open stream. It returns false if the peer has become silent.
func (session *session) register(stream *Stream) bool {
	stream.session = session
	session.lock.Lock()
	defer session.lock.Unlock()
	if session.silent {
		return false
	}
	if stream.kind != KindCall {
		if session.openStreams == nil {
			session.openStreams = make(map[*Stream]struct{})
		}
		session.openStreams[stream] = struct{}{}
	}
	return true
}

func (session *session) forget(stream *Stream) {
	session.lock.Lock()
	defer session.lock.Unlock()
	delete(session.openStreams, stream)
}

// setSilent closes the idle streams, and those of other kinds than calls: their users
// reconnect by themselves.
func (session *session) setSilent() {
	session.lock.Lock()
	session.silent = true
	var closing []*Stream
	for kind, idle := range session.idleStreams {
		closing = append(closing, idle...)
		session.idleStreams[kind] = nil
	}
	for stream := range session.openStreams {
		closing = append(closing, stream)
	}
	session.lock.Unlock()
	for _, stream := range closing {
		_ = stream.Close()
	}
}

func awaitSession(ctx context.Context, peerSession *session) (*session, error) {
	select {
	case <-peerSession.ready:
		return peerSession, peerSession.err
	default:
	}
	select {
	case <-peerSession.ready:
		return peerSession, peerSession.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (session *session) broken() bool {
	select {
	case <-session.ready:
		return session.err != nil || session.mux.IsClosed()
	default:
		return false
	}
}

func (session *session) established() bool {
	select {
	case <-session.ready:
		return session.err == nil && !session.mux.IsClosed()
	default:
		return false
	}
}

func (session *session) takeIdle(kind StreamKind) (*Stream, bool) {
	session.lock.Lock()
	defer session.lock.Unlock()
	idle := session.idleStreams[kind]
	if len(idle) == 0 {
		return nil, false
	}
	stream := idle[len(idle)-1]
	session.idleStreams[kind] = idle[:len(idle)-1]
	return stream, true
}

func (session *session) putIdle(stream *Stream) bool {
	session.lock.Lock()
	defer session.lock.Unlock()
	if session.silent || len(session.idleStreams[stream.kind]) >= maxIdleStreams || session.mux.IsClosed() {
		return false
	}
	stream.trimBuffers()
	session.idleStreams[stream.kind] = append(session.idleStreams[stream.kind], stream)
	return true
}

// muxConfig returns the settings of a connection. The keep-alive of yamux is off: it
// would close the connection, with the calls under way, of a peer that is only paused.
func (transport *Transport) muxConfig() *yamux.Config {
	settings := yamux.DefaultConfig()
	settings.EnableKeepAlive = false
	settings.ConnectionWriteTimeout = transport.pingInterval()
	settings.MaxStreamWindowSize = maxStreamWindowBytes
	settings.StreamCloseTimeout = transport.pingInterval()
	settings.LogOutput = io.Discard
	return settings
}
