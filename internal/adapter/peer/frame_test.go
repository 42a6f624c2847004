package peer

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
)

// FuzzReadFrame reads arbitrary bytes as a frame: it is rejected or encodes to the
// bytes that it was read from, with memory bounded by the size of the input.
func FuzzReadFrame(f *testing.F) {
	f.Add(AppendFrame(nil, Frame{Kind: FrameBody, Call: 7, Payload: []byte("photo")}))
	f.Add([]byte{byte(FrameBody), 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{byte(FrameBody), 0, 0x10, 0, 0, 0, 0, 0, 0, 0, 0, 0, 7, 1, 2, 3, 4, 5})
	f.Add([]byte{0})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, buffer, err := ReadFrame(bytes.NewReader(data), nil)
		if cap(buffer) > 4096+2*(len(data)+readStepBytes) {
			t.Fatalf("%d bytes of input took %d bytes of memory", len(data), cap(buffer))
		}
		if err != nil {
			return
		}
		if again := AppendFrame(nil, frame); !bytes.HasPrefix(data, again) {
			t.Fatalf("frame %+v does not encode to its input", frame)
		}
	})
}

// FuzzDecodeHello decodes arbitrary payloads as a hello.
func FuzzDecodeHello(f *testing.F) {
	payload, _ := proto.Marshal(encodeHello(Hello{Node: "one", Incarnation: 3}))
	f.Add(byte(FrameHello), payload)
	f.Add(byte(FrameBody), []byte{})
	f.Fuzz(func(t *testing.T, kind byte, payload []byte) {
		hello, err := DecodeHello(Frame{Kind: FrameKind(kind), Payload: payload})
		if err != nil && hello != (Hello{}) {
			t.Fatalf("refused hello still gives %+v", hello)
		}
	})
}

func TestCorruptFramesAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	frame := AppendFrame(nil, Frame{Kind: FrameBody, Call: 7, Payload: []byte("photo")})
	for index := range frame {
		broken := bytes.Clone(frame)
		broken[index] ^= 0x40
		_, _, err := ReadFrame(bytes.NewReader(broken), nil)
		g.Expect(err).To(gomega.HaveOccurred(), "a changed byte at %d", index)
		_, _, err = ReadFrame(bytes.NewReader(frame[:index]), nil)
		g.Expect(errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)).To(gomega.BeTrue(), "cut at %d", index)
	}
}

func TestOtherProtocolVersionsAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, version := range []uint32{0, ProtocolVersion + 1} {
		payload, err := proto.Marshal(&peerpb.Hello{ProtocolVersion: version, Node: "other"})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = DecodeHello(Frame{Kind: FrameHello, Payload: payload})
		g.Expect(err).To(gomega.MatchError(ErrIncompatible))
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("upgrade the older one")))
	}
}
