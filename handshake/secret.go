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
	nonceBytes = 32
	timeout    = time.Second
)

// ErrRejected is returned if the peer's proof is wrong.
var ErrRejected = errors.New("peer does not know the shared secret")

// Secret is the secret that all processes of a deployment share.
type Secret struct {
	key []byte
}

// New returns the secret with the given text.
func New(text string) *Secret { return &Secret{key: []byte(text)} }

// ClientHandshake runs the handshake as the end that opened conn.
func (s *Secret) ClientHandshake(conn net.Conn) error {
	return s.authenticate(conn, "client", "server")
}

// ServerHandshake runs the handshake as the end that accepted conn.
func (s *Secret) ServerHandshake(conn net.Conn) error {
	return s.authenticate(conn, "server", "client")
}

// authenticate exchanges nonces and then proofs with the peer. The role in each proof prevents an attacker from sending an
// end's own proof back to it.
func (s *Secret) authenticate(conn net.Conn, ownRole, peerRole string) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	peerNonce, err := exchange(conn, nonce)
	if err != nil {
		return err
	}
	peerProof, err := exchange(conn, s.computeProof(ownRole, peerNonce, nonce))
	if err != nil {
		return err
	}
	if !hmac.Equal(peerProof, s.computeProof(peerRole, nonce, peerNonce)) {
		return ErrRejected
	}
	return conn.SetDeadline(time.Time{})
}

// computeProof returns the proof of the end with the given role, which received and sent these nonces.
func (s *Secret) computeProof(role string, receivedNonce, sentNonce []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(role))
	mac.Write(receivedNonce)
	mac.Write(sentNonce)
	return mac.Sum(nil)
}

// exchange sends out and receives a message of the same length.
func exchange(conn net.Conn, out []byte) ([]byte, error) {
	if _, err := conn.Write(out); err != nil {
		return nil, fmt.Errorf("handshake: %w", err)
	}
	in := make([]byte, len(out))
	if _, err := io.ReadFull(conn, in); err != nil {
		return nil, fmt.Errorf("handshake: %w", err)
	}
	return in, nil
}
