package peer

import (
	"encoding/binary"
	"net"
)

const (
	yamuxHeaderLength = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
)

// joiner writes the header of a yamux data frame together with its body, so
// that a small message costs one system call.
type joiner struct {
	net.Conn
	held []byte
}

// Write is called by yamux from one goroutine only.
func (jo *joiner) Write(data []byte) (int, error) {
	if len(jo.held) == 0 && announcesBody(data) {
		jo.held = append(jo.held, data...)
		return len(data), nil
	}
	if len(jo.held) == 0 {
		return jo.Conn.Write(data)
	}
	jo.held = append(jo.held, data...)
	_, err := jo.Conn.Write(jo.held)
	jo.held = jo.held[:0]
	if err != nil {
		return 0, err
	}
	return len(data), nil
}

func announcesBody(data []byte) bool {
	if len(data) != yamuxHeaderLength || data[yamuxTypeOffset] != yamuxTypeData {
		return false
	}
	return binary.BigEndian.Uint32(data[yamuxLengthOffset:]) > 0
}
