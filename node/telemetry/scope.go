package telemetry

import (
	"io"
	"time"

	"github.com/uber-go/tally/v4"
)

// Prefix is the prefix of all metric names.
const Prefix = "basilferry"

// reportInterval is how often values are reported, and thus the maximum age of
// a served value.
const reportInterval = time.Second

var nameCharacters = tally.ValidCharacters{
	Ranges:     tally.AlphanumericRange,
	Characters: tally.UnderscoreCharacters,
}

// allCharacters leaves label values unchanged; they are escaped when they are
// served.
var allCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{0, '\U0010ffff'}}}

// NewScope returns the root scope of a process, which reports to r every
// second, and its closer.
func NewScope(r *Reporter) (tally.Scope, io.Closer) {
	return tally.NewRootScope(tally.ScopeOptions{
		Prefix:         Prefix,
		Separator:      "_",
		CachedReporter: r,
		SanitizeOptions: &tally.SanitizeOptions{
			NameCharacters:       nameCharacters,
			KeyCharacters:        nameCharacters,
			ValueCharacters:      allCharacters,
			ReplacementCharacter: '_',
		},
		OmitCardinalityMetrics: true,
	}, reportInterval)
}
