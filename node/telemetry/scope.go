package telemetry

import (
	"io"
	"time"

	"github.com/uber-go/tally/v4"
)

// Prefix starts the name of every metric.
const Prefix = "basilferry"

// reportInterval is how old a served value can be.
const reportInterval = time.Second

var nameCharacters = tally.ValidCharacters{
	Ranges:     tally.AlphanumericRange,
	Characters: tally.UnderscoreCharacters,
}

// allCharacters leaves label values as they are; they are escaped when served.
var allCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{0, '\U0010ffff'}}}

// NewScope returns the root scope of a process, whose values go to the reporter
// every second, and its closer.
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
