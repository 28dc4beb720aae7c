package settings

import (
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// String returns the text form, for example "250ms".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an *Error of
// kind KindBadRequest for a malformed or negative duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return &domain.Error{
			Kind:    domain.KindBadRequest,
			Message: fmt.Sprintf("%q is not a duration", text),
			Remedy:  durationRemedy,
		}
	}
	*d = Duration(parsed)
	return nil
}

const durationRemedy = `write a number with a unit, for example "250ms", "2s" or "1h30m"`
