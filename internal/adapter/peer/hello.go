package peer

import (
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// ProtocolVersion is the version of the peer protocol that this build speaks.
const ProtocolVersion = 1

const helloTimeout = 3 * time.Second

// ErrIncompatible is returned if the peer speaks another protocol version.
var ErrIncompatible = errors.New("peer speaks another protocol version")

// Hello identifies a process to its peer.
type Hello struct {
	Node        request.NodeID
	Place       request.Place
	Service     request.ServiceName
	Incarnation uint64
}

func exchangeHello(conn net.Conn, self Hello) (Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return Hello{}, err
	}
	sent := make(chan error, 1)
	go func() {
		sent <- writeHello(conn, encodeHello(self))
	}()
	remote, err := readHello(conn)
	if err != nil {
		return Hello{}, err
	}
	if err := <-sent; err != nil {
		return Hello{}, err
	}
	return remote, conn.SetDeadline(time.Time{})
}

func encodeHello(self Hello) *peerpb.Hello {
	return &peerpb.Hello{
		ProtocolVersion: ProtocolVersion,
		Node:            string(self.Node),
		Region:          string(self.Place.Region),
		Domain:          string(self.Place.Domain),
		Service:         string(self.Service),
		Incarnation:     self.Incarnation,
	}
}

func writeHello(conn net.Conn, hello *peerpb.Hello) error {
	payload, err := proto.Marshal(hello)
	if err != nil {
		return err
	}
	_, err = conn.Write(AppendFrame(nil, Frame{Kind: FrameHello, Payload: payload}))
	return err
}

func readHello(conn net.Conn) (Hello, error) {
	frame, _, err := ReadFrame(conn, nil)
	if err != nil {
		return Hello{}, fmt.Errorf("read hello: %w", err)
	}
	return DecodeHello(frame)
}

// DecodeHello decodes the first frame of a connection. The error wraps
// [ErrIncompatible] if the peer speaks another protocol version.
func DecodeHello(frame Frame) (Hello, error) {
	if frame.Kind != FrameHello {
		return Hello{}, fmt.Errorf("%w: got kind %d, want a hello", ErrUnexpectedFrame, frame.Kind)
	}
	message := &peerpb.Hello{}
	if err := proto.Unmarshal(frame.Payload, message); err != nil {
		return Hello{}, fmt.Errorf("decode hello: %w", err)
	}
	if message.GetProtocolVersion() != ProtocolVersion {
		return Hello{}, fmt.Errorf("%w: peer has version %d, this node has version %d; upgrade the older one",
			ErrIncompatible, message.GetProtocolVersion(), ProtocolVersion)
	}
	hello := Hello{
		Node:        request.NodeID(message.GetNode()),
		Place:       request.Place{Region: request.RegionName(message.GetRegion()), Domain: request.DomainName(message.GetDomain())},
		Service:     request.ServiceName(message.GetService()),
		Incarnation: message.GetIncarnation(),
	}
	return hello, nil
}
