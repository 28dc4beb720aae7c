package e2e

import (
	"os"
	"slices"
	"strings"
	"testing"
)

// knownRedFile lists tests that fail because of known faults, one entry that
// starts with "test: NAME" for each.
const knownRedFile = "../../KNOWN-RED.txt"

// runKnownRed is the environment variable that makes the listed tests run as
// well.
const runKnownRed = "BASILFERRY_RUN_KNOWN_RED"

// skipIfKnownRed skips the test if it is listed.
func skipIfKnownRed(t *testing.T, name string) {
	t.Helper()
	data, err := os.ReadFile(knownRedFile)
	if err != nil || os.Getenv(runKnownRed) != "" {
		return
	}
	lines := strings.Split(string(data), "\n")
	if slices.Contains(lines, "test: "+name) {
		t.Skipf("KNOWN RED: %s fails because of a fault listed in KNOWN-RED.txt; set %s=1 to run it", name, runKnownRed)
	}
}
