package main

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"

	"rhubarbrelay/settings"
)

// newLogger returns a logger that adds the time and the instance ID to each line.
// The text format is logfmt, as apex's text handler does not write a timestamp.
func newLogger(s *settings.Settings, w io.Writer) log.Interface {
	logger := &log.Logger{Handler: logfmt.New(w), Level: log.MustParseLevel(s.Log.Level)}
	if s.Log.Format == settings.FormatJSON {
		logger.Handler = json.New(w)
	}
	return logger.WithField("instance", s.Instance.ID)
}
