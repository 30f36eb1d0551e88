package logs

import (
	"bytes"
	"flag"
	"io"
	"log/slog"
	"strconv"

	"k8s.io/klog/v2"

	"plantainlane/plantainlane/settings"
)

// Start directs the program's log lines to out, as JSON lines or as text, each with the ID of the instance. Calling
// stop waits until the lines logged so far are written, for a second at most.
func Start(out io.Writer, instance string, l settings.Log) (stop func()) {
	w := NewWriter(out, func(count int) []byte {
		var line bytes.Buffer
		slog.New(newHandler(&line, instance, l)).Warn("log lines left out", "count", count)
		return line.Bytes()
	})
	klog.SetSlogLogger(slog.New(newHandler(w, instance, l)))
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(l.Verbosity)); err != nil {
		klog.ErrorS(err, "log verbosity not set")
	}
	return w.Close
}

// newHandler returns a handler that writes lines to out, in the format and up to the verbosity of l, with the instance
// ID.
func newHandler(out io.Writer, instance string, l settings.Log) slog.Handler {
	options := &slog.HandlerOptions{Level: slog.Level(-l.Verbosity)}
	var h slog.Handler = slog.NewJSONHandler(out, options)
	if l.Format == "text" {
		h = slog.NewTextHandler(out, options)
	}
	return h.WithAttrs([]slog.Attr{slog.String("instance", instance)})
}
