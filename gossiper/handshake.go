package gossiper

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// minKeyBytes is the minimum length of a shared key; a shorter one could be guessed.
	minKeyBytes = 16
	nonceBytes  = 32
	helloMagic  = "clementine/gossip"
	helloBytes  = len(helloMagic) + 2 + nonceBytes
)

// The labels prevent a reflection attack: the proof of one side is not valid as the proof of the other.
const (
	clientLabel = "client"
	serverLabel = "server"
)

// ErrKey is returned by calls to a peer that fails to prove in the handshake that it holds the shared key.
var ErrKey = errors.New("the peer does not hold the shared key")

// hello is the first message of each side.
type hello [helloBytes]byte

func newHello() (hello, error) {
	var h hello
	copy(h[:], helloMagic)
	binary.BigEndian.PutUint16(h[len(helloMagic):], Protocol)
	_, err := rand.Read(h[len(helloMagic)+2:])
	return h, err
}

func readHello(r io.Reader) (hello, error) {
	var h hello
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return h, err
	}
	if string(h[:len(helloMagic)]) != helloMagic {
		return h, errors.New("the peer does not speak the gossip protocol")
	}
	if binary.BigEndian.Uint16(h[len(helloMagic):]) == 0 {
		return h, errors.New("the peer announces protocol version 0")
	}
	return h, nil
}

// proof returns the MAC with which a side proves that it holds the key and received the other's hello. It covers both
// hellos and so both protocol versions.
func proof(key []byte, label string, client, server hello) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(label))
	m.Write(client[:])
	m.Write(server[:])
	return m.Sum(nil)
}

func readProof(r io.Reader, want []byte) error {
	got := make([]byte, len(want))
	if _, err := io.ReadFull(r, got); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	if !hmac.Equal(got, want) {
		return ErrKey
	}
	return nil
}

// dialHandshake performs the client's side of the handshake: the server proves first that it holds the key, then the
// client. The timeout is for the whole handshake.
func dialHandshake(c net.Conn, key []byte, timeout time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	local, err := newHello()
	if err != nil {
		return err
	}
	if _, err := c.Write(local[:]); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	remote, err := readHello(c)
	if err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	if err := readProof(c, proof(key, serverLabel, local, remote)); err != nil {
		return err
	}
	if _, err := c.Write(proof(key, clientLabel, local, remote)); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	return c.SetDeadline(time.Time{})
}

// acceptHandshake performs the server's side of the handshake.
func acceptHandshake(c net.Conn, key []byte, timeout time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	remote, err := readHello(c)
	if err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	local, err := newHello()
	if err != nil {
		return err
	}
	if _, err := c.Write(append(local[:], proof(key, serverLabel, remote, local)...)); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	if err := readProof(c, proof(key, clientLabel, remote, local)); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}
