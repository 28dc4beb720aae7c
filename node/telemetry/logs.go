package telemetry

import (
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/charmbracelet/log"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/settings"
)

// timeFormat is RFC 3339 in UTC with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z"

// Logs creates the loggers of a process.
type Logs struct {
	root *log.Logger
}

// NewLogs returns a Logs whose loggers write to w. The secrets are redacted in
// every line, because errors of libraries can contain header values. It returns
// an *Error of kind KindBadRequest for an unknown level or format.
func NewLogs(w io.Writer, s settings.Log, secrets ...string) (*Logs, error) {
	level, err := log.ParseLevel(s.Level)
	if err != nil || level == log.FatalLevel {
		return nil, badSetting("log.level", s.Level, "use debug, info, warn or error")
	}
	formatter, ok := map[string]log.Formatter{"text": log.TextFormatter, "json": log.JSONFormatter}[s.Format]
	if !ok {
		return nil, badSetting("log.format", s.Format, "use text or json")
	}
	root := log.NewWithOptions(newRedactor(w, secrets), log.Options{
		Level:           level,
		Formatter:       formatter,
		ReportTimestamp: true,
		TimeFormat:      timeFormat,
		TimeFunction:    log.NowUTC,
	})
	return &Logs{root: root}, nil
}

// Component returns a logger whose lines have the component's name as prefix.
func (l *Logs) Component(name string) *log.Logger { return l.root.WithPrefix(name) }

func badSetting(field, value, remedy string) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindBadRequest,
		Message: fmt.Sprintf("%s %q is unknown", field, value),
		Remedy:  remedy,
	}
}

// redactedText replaces a secret in a log line.
const redactedText = "[redacted]"

// redactor replaces secrets in complete lines. It also serializes the writes of
// the loggers, each of which has a lock of its own.
type redactor struct {
	mu       sync.Mutex
	w        io.Writer
	replacer *strings.Replacer
}

func newRedactor(w io.Writer, secrets []string) *redactor {
	var pairs []string
	for _, secret := range secrets {
		if secret == "" {
			continue
		}
		for _, form := range encodedForms(secret) {
			pairs = append(pairs, form, redactedText)
		}
	}
	return &redactor{w: w, replacer: strings.NewReplacer(pairs...)}
}

// encodedForms returns the forms in which a text can appear in a log line. The
// text format escapes '"' only, the JSON format also '\'.
func encodedForms(text string) []string {
	quoted := strings.ReplaceAll(text, `"`, `\"`)
	escaped := strings.ReplaceAll(strings.ReplaceAll(text, `\`, `\\`), `"`, `\"`)
	return []string{text, quoted, escaped}
}

// Write implements io.Writer for one line.
func (r *redactor) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err := r.replacer.WriteString(r.w, string(line)); err != nil {
		return 0, err
	}
	return len(line), nil
}
