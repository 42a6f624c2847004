package peer

import (
	"context"
	"io"
	"sync"

	"github.com/hashicorp/yamux"
)

type session struct {
	ready  chan struct{}
	err    error
	mux    *yamux.Session
	remote Hello

	lock sync.Mutex
	idle [kindLimit][]*Stream
}

func awaitSession(ctx context.Context, current *session) (*session, error) {
	select {
	case <-current.ready:
		return current, current.err
	default:
	}
	select {
	case <-current.ready:
		return current, current.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (se *session) broken() bool {
	select {
	case <-se.ready:
		return se.err != nil || se.mux.IsClosed()
	default:
		return false
	}
}

func (se *session) stands() bool {
	select {
	case <-se.ready:
		return se.err == nil && !se.mux.IsClosed()
	default:
		return false
	}
}

func (se *session) takeIdle(kind Kind) (*Stream, bool) {
	se.lock.Lock()
	defer se.lock.Unlock()
	idle := se.idle[kind]
	if len(idle) == 0 {
		return nil, false
	}
	stream := idle[len(idle)-1]
	se.idle[kind] = idle[:len(idle)-1]
	return stream, true
}

func (se *session) keep(stream *Stream) bool {
	se.lock.Lock()
	defer se.lock.Unlock()
	if len(se.idle[stream.kind]) >= idleStreams || se.mux.IsClosed() {
		return false
	}
	stream.trim()
	se.idle[stream.kind] = append(se.idle[stream.kind], stream)
	return true
}

func muxConfig() *yamux.Config {
	settings := yamux.DefaultConfig()
	settings.KeepAliveInterval = keepAliveInterval
	settings.ConnectionWriteTimeout = keepAliveInterval
	settings.MaxStreamWindowSize = streamWindow
	settings.StreamCloseTimeout = keepAliveInterval
	settings.LogOutput = io.Discard
	return settings
}
