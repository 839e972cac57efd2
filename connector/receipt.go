package connector

import (
	"cmp"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// receiptInterval is the interval at which AwaitReceipt looks at a connection.
const receiptInterval = 5 * time.Millisecond

// AwaitReceipt waits until the system of the peer has acknowledged all bytes that were written to a connection whose peer
// has closed its side. It fails if the connection is reset or closed meanwhile: a process that dies while bytes are on their
// way to it closes its side in order, and its system resets the connection when they arrive. It returns nil at once if the
// connection cannot be asked.
func AwaitReceipt(nc net.Conn) error {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	for {
		var unacknowledged, pending int
		var queueErr, optionErr error
		err := raw.Control(func(fd uintptr) {
			// The queue comes first: a reset empties it.
			unacknowledged, queueErr = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
			pending, optionErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		})
		switch {
		case err != nil:
			return err
		case cmp.Or(queueErr, optionErr) != nil:
			return nil
		case pending != 0:
			return syscall.Errno(pending)
		case unacknowledged == 0:
			return nil
		}
		time.Sleep(receiptInterval)
	}
}
