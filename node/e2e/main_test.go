package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Import paths of the programs under test.
const (
	daemonPackage = "github.com/basilferry/basilferry/node/cmd/basilferryd"
	cliPackage    = "github.com/basilferry/basilferry/cli/cmd/basilferry"
)

// maxClusters bounds the number of clusters that run concurrently. Each has 12
// processes. On a host with 10 cores, more clusters would delay the pings between
// nodes too much.
const maxClusters = 3

var (
	daemonPath   string
	cliPath      string
	clusterSlots = make(chan struct{}, maxClusters)
)

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "basilferry-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "make directory for the programs:", err)
		return 1
	}
	defer os.RemoveAll(dir)
	daemonPath = filepath.Join(dir, "basilferryd")
	cliPath = filepath.Join(dir, "basilferry")
	for path, pkg := range map[string]string{daemonPath: daemonPackage, cliPath: cliPackage} {
		if out, err := exec.Command("go", "build", "-o", path, pkg).CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", pkg, err, out)
			return 1
		}
	}
	return m.Run()
}

// acquireClusterSlot makes t run in parallel with other tests, and waits for one
// of the maxClusters slots. t keeps the slot until it ends.
func acquireClusterSlot(t *testing.T) {
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
}
