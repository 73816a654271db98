package process

import (
	"io"
	"log/slog"
)

// logTime is the form of a log line's time: UTC, in milliseconds.
const logTime = "2006-01-02T15:04:05.000Z"

// NewLogger makes a logger that writes one event as one line of key=value pairs.
// An unknown or empty level means info.
func NewLogger(out io.Writer, level string) *slog.Logger {
	var least slog.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		least = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: least, ReplaceAttr: utcTime}))
}

func utcTime(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.TimeKey {
		a.Value = slog.StringValue(a.Value.Time().UTC().Format(logTime))
	}
	return a
}
