// Package testport provides tests with loopback addresses that stay free until a
// process of the test listens on them, also when that process restarts.
package testport

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// The ports are below those that the kernel assigns to outgoing connections, by
// default 32768 and up. Otherwise a connection could get a port that was found
// free before a node listens on it.
const (
	firstPort = 20_000
	lastPort  = 31_999
	// processStride times the process id determines the first port to check, so
	// that the processes of one test run start at different ports.
	processStride = 613
)

var (
	mu   sync.Mutex
	next = os.Getpid() * processStride % (lastPort - firstPort)
)

// FreeAddresses returns n addresses "127.0.0.1:port" on which no process listens.
// It returns no address twice before the range is used up.
func FreeAddresses(t testing.TB, n int) []string {
	t.Helper()
	mu.Lock()
	defer mu.Unlock()
	var free []string
	for range lastPort - firstPort {
		if len(free) == n {
			return free
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+next)
		next = (next + 1) % (lastPort - firstPort)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			free = append(free, address)
		}
	}
	t.Fatalf("fewer than %d ports are free", n)
	return nil
}
