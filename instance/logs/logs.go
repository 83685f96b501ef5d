package logs

import (
	"fmt"
	"io"
	"time"

	"github.com/phuslu/log"
)

// New returns a logger that writes JSON lines, each with the instance's name.
func New(w io.Writer, level, instance string) (*log.Logger, error) {
	parsed := log.ParseLevel(level)
	if level == "" {
		parsed = log.InfoLevel
	}
	if parsed < log.TraceLevel || parsed > log.PanicLevel {
		return nil, fmt.Errorf("logs: unknown level %q; use debug, info, warn or error", level)
	}
	return &log.Logger{
		Level:      parsed,
		TimeField:  "time",
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("instance", instance).Value(),
		Writer:     &log.IOWriter{Writer: w},
	}, nil
}

// Discard returns a logger that writes nothing.
func Discard() *log.Logger {
	return &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}
