package e2e

import (
	"os"
	"slices"
	"strings"
	"testing"
)

// knownRedFile lists the tests that fail because of known faults. skipIfKnownRed
// finds the line "test: NAME". Entries that also name the package ("test: PACKAGE,
// NAME") are skipped by .ci/run instead.
const knownRedFile = "../../KNOWN-RED.txt"

// runKnownRed is the environment variable that, if it is not empty, makes the
// listed tests run as well.
const runKnownRed = "BASILFERRY_RUN_KNOWN_RED"

// skipIfKnownRed skips the test if knownRedFile lists the name.
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
