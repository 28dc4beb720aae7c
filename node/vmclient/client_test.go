package vmclient

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/standin/vmlist"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// Guards against changes of the VM list that are visible before its lag has
// passed, or never.
func TestChangesAreListedAfterLag(t *testing.T) {
	for _, transport := range []string{"memory", "http"} {
		t.Run(transport, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			list := vmlist.New(vmlist.Options{Clock: clock, Lag: 2 * time.Second},
				platform.VM{ID: "w2", Domain: "larissa"}, platform.VM{ID: "w1", Domain: "larissa"}, platform.VM{ID: "v1", Domain: "volos"})
			var client platform.VMList = list
			if transport == "http" {
				client = serve(t, list)
			}
			list.MarkLeaving("w1")
			list.Remove("w2")
			list.Put(platform.VM{ID: "w3", Domain: "larissa"})
			clock.Advance(2*time.Second - 1)
			assert.DeepEqual(t, states(t, client), []string{"w1 live", "w2 live"})
			clock.Advance(1)
			assert.DeepEqual(t, states(t, client), []string{"w1 leaving", "w3 live"})

			list.SetOutage(vmlist.ModeRefuse)
			_, err := client.List(context.Background(), "larissa")
			assert.Equal(t, domain.KindOf(err), domain.KindUnavailable)
		})
	}
}

func states(t *testing.T, list platform.VMList) []string {
	t.Helper()
	vms, err := list.List(context.Background(), "larissa")
	assert.NilError(t, err)
	var out []string
	for _, vm := range vms {
		out = append(out, string(vm.ID)+" "+string(vm.State))
	}
	return out
}

func serve(t *testing.T, list *vmlist.List) *Client {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- vmlist.Serve(ctx, ln, list) }()
	client := New("http://" + ln.Addr().String())
	t.Cleanup(func() {
		client.Close()
		cancel()
		assert.NilError(t, <-done)
	})
	return client
}
