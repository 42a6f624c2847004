package peer

import (
	"context"
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

	// lock guards idleStreams, by kind.
	lock        sync.Mutex
	idleStreams [kindCount][]*Stream
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
	if len(session.idleStreams[stream.kind]) >= maxIdleStreams || session.mux.IsClosed() {
		return false
	}
	stream.trimBuffers()
	session.idleStreams[stream.kind] = append(session.idleStreams[stream.kind], stream)
	return true
}

func muxConfig() *yamux.Config {
	settings := yamux.DefaultConfig()
	settings.KeepAliveInterval = muxKeepAliveInterval
	settings.ConnectionWriteTimeout = muxKeepAliveInterval
	settings.MaxStreamWindowSize = maxStreamWindowBytes
	settings.StreamCloseTimeout = muxKeepAliveInterval
	settings.LogOutput = io.Discard
	return settings
}
