package entry

import (
	"io"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// maxLoggedID and maxLoggedDetail are the maximum sizes, in bytes, of an ID and of an error text in a log line. Both may
	// come from a caller or a target.
	maxLoggedID     = 128
	maxLoggedDetail = 512
	// maxServerError is the maximum size of what net/http reports, in bytes: the begin of a stack if a handler panics.
	maxServerError = 4 << 10
	// logBurstSeconds is how many seconds' worth of log lines may be written at once.
	logBurstSeconds = 2
)

// loggedText returns a text as it is logged: at most size bytes of it, and printable, because JSON takes six bytes for some
// others.
func loggedText(s string, size int) string {
	cut := len(s) > size
	if cut {
		s = s[:size]
	}
	if strings.ContainsFunc(s, isOdd) {
		s = strings.Map(func(r rune) rune {
			if isOdd(r) {
				return '?'
			}
			return r
		}, s)
	}
	if cut {
		s += "..."
	}
	return s
}

// isOdd reports whether a character is not printable, or stands for bytes that are not UTF-8.
func isOdd(r rune) bool { return r == utf8.RuneError || !unicode.IsPrint(r) }

// LogLimiter drops log lines beyond a rate. It never waits.
type LogLimiter struct {
	output  io.Writer
	limiter *rate.Limiter
	dropped func(lines int)
}

// NewLogLimiter returns a writer that passes at most bytesPerSecond on to output, and twice that at once. It calls dropped for
// each line that it drops. Each Write is one line.
func NewLogLimiter(output io.Writer, bytesPerSecond int, dropped func(lines int)) *LogLimiter {
	return &LogLimiter{
		output: output, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), logBurstSeconds*bytesPerSecond), dropped: dropped,
	}
}

// Write implements io.Writer. A line that is dropped is no error. Errors are those of the output.
func (l *LogLimiter) Write(line []byte) (int, error) {
	if !l.limiter.AllowN(time.Now(), len(line)) {
		l.dropped(1)
		return len(line), nil
	}
	return l.output.Write(line)
}

// serverLog logs what net/http reports.
type serverLog struct{ log zerolog.Logger }

// Write implements io.Writer.
func (l serverLog) Write(line []byte) (int, error) {
	l.log.Warn().Str("event", "serverError").Str("error", loggedText(strings.TrimSpace(string(line)), maxServerError)).
		Msg("HTTP server reports an error")
	return len(line), nil
}
