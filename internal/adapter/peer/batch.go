package peer

import (
	"encoding/binary"
	"net"
)

const (
	yamuxHeaderBytes  = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
)

// frameBatcher is a connection that writes the header of a yamux data frame
// together with its body, so that a small message costs one system call. Yamux
// writes the two separately.
type frameBatcher struct {
	net.Conn
	pendingHeader []byte
}

// Write holds a header back until the write of its body. It is not safe for
// concurrent use: yamux calls it from one goroutine only.
func (batcher *frameBatcher) Write(data []byte) (int, error) {
	if len(batcher.pendingHeader) == 0 && isHeaderWithBody(data) {
		batcher.pendingHeader = append(batcher.pendingHeader, data...)
		return len(data), nil
	}
	if len(batcher.pendingHeader) == 0 {
		return batcher.Conn.Write(data)
	}
	batcher.pendingHeader = append(batcher.pendingHeader, data...)
	_, err := batcher.Conn.Write(batcher.pendingHeader)
	batcher.pendingHeader = batcher.pendingHeader[:0]
	if err != nil {
		return 0, err
	}
	return len(data), nil
}

func isHeaderWithBody(data []byte) bool {
	if len(data) != yamuxHeaderBytes || data[yamuxTypeOffset] != yamuxTypeData {
		return false
	}
	return binary.BigEndian.Uint32(data[yamuxLengthOffset:]) > 0
}
