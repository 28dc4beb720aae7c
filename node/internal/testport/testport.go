// Package testport gives tests loopback addresses that stay free until a
// process of the test listens on them, also when it is restarted.
package testport

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// The ports are below those that the kernel gives to outgoing connections,
// 32768 and up by default. A port that was free a moment ago could otherwise be
// taken by a connection before a node listens on it.
const (
	firstPort = 20_000
	lastPort  = 31_999
	// processStride spreads the processes of one test run over the range.
	processStride = 613
)

var (
	mu   sync.Mutex
	next = os.Getpid() * processStride % (lastPort - firstPort)
)

// FreeAddresses returns n addresses "127.0.0.1:port" that nobody listens on. No address
// is returned twice before the range is used up.
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
