package test

import (
	"io"
	"log/slog"
)

// quietLogger returns a logger that discards everything.
func quietLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
