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

// ErrUnauthenticated is returned when the other end does not know the secret.
var ErrUnauthenticated = errors.New("peer did not prove that it belongs to the system")

const (
	nonceSize        = 32 // bytes
	maxNameSize      = 255
	handshakeTimeout = 3 * time.Second
)

type side byte

const (
	clientSide side = 'C'
	serverSide side = 'S'
)

// hello is what each end sends first.
type hello struct {
	name  string
	nonce [nonceSize]byte
}

// handshake authenticates both ends by the deadline of ctx and returns the name of the
// other one.
func handshake(ctx context.Context, conn net.Conn, secret []byte, name string, own side) (string, error) {
	deadline, ok := ctx.Deadline()
	if latest := time.Now().Add(handshakeTimeout); !ok || deadline.After(latest) {
		deadline = latest
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return "", fmt.Errorf("handshake: %w", err)
	}
	mine := hello{name: name}
	if _, err := rand.Read(mine.nonce[:]); err != nil {
		return "", fmt.Errorf("handshake: %w", err)
	}
	if err := writeHello(conn, mine); err != nil {
		return "", fmt.Errorf("handshake: %w", err)
	}
	theirs, err := readHello(conn)
	if err != nil {
		return "", fmt.Errorf("handshake: %w", err)
	}
	other := serverSide
	if own == serverSide {
		other = clientSide
	}
	// The client proves itself first, so that the server shows nothing to a
	// stranger.
	if own == clientSide {
		err = errors.Join(writeProof(conn, secret, own, mine, theirs), readProof(conn, secret, other, theirs, mine))
	} else if err = readProof(conn, secret, other, theirs, mine); err == nil {
		err = writeProof(conn, secret, own, mine, theirs)
	}
	if err != nil {
		return "", err
	}
	return theirs.name, conn.SetDeadline(time.Time{})
}

func writeHello(w io.Writer, h hello) error {
	if len(h.name) > maxNameSize {
		return fmt.Errorf("name %q is too long", h.name)
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

// proof binds the sender's side and name to both nonces.
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
