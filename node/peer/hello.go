package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// ProtocolVersion is the version of the message formats and of the framing.
	ProtocolVersion uint16 = 1
	// HelloTimeout bounds the hello on the server's side.
	HelloTimeout = 500 * time.Millisecond

	// helloMagic is the start of a hello. The 16-bit protocol version and the
	// token digest follow.
	helloMagic = "BFP1"
	helloBytes = len(helloMagic) + 2 + sha256.Size
	// helloReplyBytes is the size of a reply: a status byte and the server's 16-bit
	// protocol version.
	helloReplyBytes = 3
)

// helloStatus is the status in the server's reply to a hello.
type helloStatus byte

const (
	helloAccepted helloStatus = iota
	helloWrongVersion
	helloWrongToken
	helloTooManyConnections
)

// tokenDigest is the SHA-256 digest of the peer token. The hello contains the
// digest because its size does not depend on the token.
type tokenDigest [sha256.Size]byte

func digestToken(token string) tokenDigest { return sha256.Sum256([]byte(token)) }

// sendHello sends the hello, reads the server's reply and returns an error if
// the server refuses the connection.
func sendHello(c net.Conn, d tokenDigest) error {
	hello := make([]byte, 0, helloBytes)
	hello = append(hello, helloMagic...)
	hello = binary.BigEndian.AppendUint16(hello, ProtocolVersion)
	hello = append(hello, d[:]...)
	if _, err := c.Write(hello); err != nil {
		return err
	}
	var reply [helloReplyBytes]byte
	if _, err := io.ReadFull(c, reply[:]); err != nil {
		return fmt.Errorf("the peer did not answer the hello: %w", err)
	}
	return helloError(helloStatus(reply[0]), binary.BigEndian.Uint16(reply[1:]))
}

func helloError(s helloStatus, version uint16) error {
	switch s {
	case helloAccepted:
		return nil
	case helloWrongVersion:
		return &domain.Error{
			Kind:    domain.KindBadRequest,
			Message: fmt.Sprintf("the peer uses protocol version %d, this node uses %d", version, ProtocolVersion),
			Remedy:  "run the same release on all nodes",
		}
	case helloWrongToken:
		return &domain.Error{
			Kind:    domain.KindUnauthorized,
			Message: "the peer rejected the peer token",
			Remedy:  "set the same security.peer_token on all nodes",
		}
	case helloTooManyConnections:
		return &domain.Error{
			Kind:    domain.KindUnavailable,
			Message: "the peer has too many connections",
			Remedy:  "check for nodes that connect repeatedly, then try again",
		}
	}
	return &domain.Error{
		Kind:    domain.KindBadRequest,
		Message: fmt.Sprintf("the peer answered the hello with unknown status %d", s),
		Remedy:  "check the peer address in the settings",
	}
}

// checkHello reads a client's hello and returns the status to reply with.
func checkHello(c net.Conn, want tokenDigest) (helloStatus, error) {
	var hello [helloBytes]byte
	if _, err := io.ReadFull(c, hello[:]); err != nil {
		return 0, err
	}
	if string(hello[:len(helloMagic)]) != helloMagic {
		return 0, errMessageFormat
	}
	rest := hello[len(helloMagic):]
	if binary.BigEndian.Uint16(rest) != ProtocolVersion {
		return helloWrongVersion, nil
	}
	if subtle.ConstantTimeCompare(rest[2:], want[:]) != 1 {
		return helloWrongToken, nil
	}
	return helloAccepted, nil
}

func writeHelloReply(c net.Conn, s helloStatus) error {
	reply := [helloReplyBytes]byte{byte(s)}
	binary.BigEndian.PutUint16(reply[1:], ProtocolVersion)
	_, err := c.Write(reply[:])
	return err
}
