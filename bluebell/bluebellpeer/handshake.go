package bluebellpeer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// ErrUnauthenticated is returned when the peer does not prove knowledge of the secret,
// ends the handshake early, or authenticates with an unexpected name.
var ErrUnauthenticated = errors.New("peer failed authentication")

const (
	nonceSize        = 32  // bytes
	maxNameSize      = 255 // bytes, since the length is sent as one byte
	handshakeTimeout = 3 * time.Second
)

// side is the role of one end of a connection, as included in its HMAC.
type side byte

const (
	clientSide side = 'C'
	serverSide side = 'S'
)

// hello is the first message of each end: its name and a random nonce.
type hello struct {
	name  string
	nonce [nonceSize]byte
}

// handshake authenticates both ends and returns the name of the other end. It must
// finish before the deadline of ctx and within handshakeTimeout.
func handshake(ctx context.Context, conn net.Conn, secret []byte, name string, localSide side) (string, error) {
	deadline, ok := ctx.Deadline()
	if latest := time.Now().Add(handshakeTimeout); !ok || deadline.After(latest) {
		deadline = latest
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return "", fmt.Errorf("handshake: %w", err)
	}
	local := hello{name: name}
	if _, err := rand.Read(local.nonce[:]); err != nil {
		return "", fmt.Errorf("handshake: %w", err)
	}
	if err := writeHello(conn, local); err != nil {
		return "", fmt.Errorf("handshake: %w", err)
	}
	remote, err := readHello(conn)
	if err != nil {
		return "", fmt.Errorf("handshake: %w", err)
	}
	remoteSide := serverSide
	if localSide == serverSide {
		remoteSide = clientSide
	}
	// The client sends its proof first, so that an unauthenticated client receives no proof
	// from the server.
	if localSide == clientSide {
		err = errors.Join(writeProof(conn, secret, localSide, local, remote), readProof(conn, secret, remoteSide, remote, local))
	} else if err = readProof(conn, secret, remoteSide, remote, local); err == nil {
		err = writeProof(conn, secret, localSide, local, remote)
	}
	if err != nil {
		return "", err
	}
	return remote.name, conn.SetDeadline(time.Time{})
}

func writeHello(w io.Writer, h hello) error {
	if len(h.name) > maxNameSize {
		return fmt.Errorf("name %q is longer than 255 bytes", h.name)
	}
	buf := append([]byte{byte(len(h.name))}, h.name...)
	_, err := w.Write(append(buf, h.nonce[:]...))
	return err
}

func readHello(r io.Reader) (hello, error) {
	var h hello
	var length [1]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return h, err
	}
	name := make([]byte, length[0])
	if _, err := io.ReadFull(r, name); err != nil {
		return h, err
	}
	h.name = string(name)
	_, err := io.ReadFull(r, h.nonce[:])
	return h, err
}

// proof returns the HMAC over the sender's side, both names and both nonces.
func proof(secret []byte, s side, sender, receiver hello) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte{byte(s), byte(len(sender.name))})
	mac.Write([]byte(sender.name))
	mac.Write(sender.nonce[:])
	mac.Write([]byte{byte(len(receiver.name))})
	mac.Write([]byte(receiver.name))
	mac.Write(receiver.nonce[:])
	return mac.Sum(nil)
}

func writeProof(w io.Writer, secret []byte, s side, sender, receiver hello) error {
	if _, err := w.Write(proof(secret, s, sender, receiver)); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	return nil
}

func readProof(r io.Reader, secret []byte, s side, sender, receiver hello) error {
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(r, got); err != nil {
		return fmt.Errorf("%w: %w", ErrUnauthenticated, err)
	}
	if !hmac.Equal(got, proof(secret, s, sender, receiver)) {
		return ErrUnauthenticated
	}
	return nil
}
