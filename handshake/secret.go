package handshake

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	nonceBytes  = 32
	maxDuration = time.Second
)

// ErrRejected reports that the other end does not know the secret.
var ErrRejected = errors.New("peer does not know the shared secret")

// Secret is the secret shared by all processes of one deployment.
type Secret struct {
	key []byte
}

// New returns the secret with the given text.
func New(text string) *Secret { return &Secret{key: []byte(text)} }

// ClientHandshake proves the secret to the server on conn and checks the server's proof.
func (s *Secret) ClientHandshake(conn net.Conn) error { return s.exchange(conn, "client", "server") }

// ServerHandshake proves the secret to the client on conn and checks the client's proof.
func (s *Secret) ServerHandshake(conn net.Conn) error { return s.exchange(conn, "server", "client") }

func (s *Secret) exchange(conn net.Conn, own, other string) error {
	if err := conn.SetDeadline(time.Now().Add(maxDuration)); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	theirs, err := swap(conn, nonce)
	if err != nil {
		return err
	}
	proof, err := swap(conn, s.proof(own, theirs, nonce))
	if err != nil {
		return err
	}
	if !hmac.Equal(proof, s.proof(other, nonce, theirs)) {
		return ErrRejected
	}
	return conn.SetDeadline(time.Time{})
}

func (s *Secret) proof(role string, received, sent []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(role))
	mac.Write(received)
	mac.Write(sent)
	return mac.Sum(nil)
}

func swap(conn net.Conn, out []byte) ([]byte, error) {
	if _, err := conn.Write(out); err != nil {
		return nil, fmt.Errorf("handshake: %w", err)
	}
	in := make([]byte, len(out))
	if _, err := io.ReadFull(conn, in); err != nil {
		return nil, fmt.Errorf("handshake: %w", err)
	}
	return in, nil
}
