package entry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against texts of callers that take much more room in the log than in the request.
func TestLoggedText(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ text, logged string }{
		{"9c41d07be2a35f68", "9c41d07be2a35f68"},
		{"r\u012bga", "r\u012bga"},
		{"tab\there", "tab?here"},
		{"\xff\xfe", "??"},
		{strings.Repeat("\xff", 1000), strings.Repeat("?", 16) + "..."},
		{strings.Repeat("a", 15) + "\u012b", strings.Repeat("a", 15) + "?..."},
	} {
		is.Equal(loggedText(c.text, 16), c.logged)
	}
}

// Guards against a log that grows without bound, and against lines that are dropped in part.
func TestLogLimiter(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	dropped := 0
	const perSecond = 1000
	l := NewLogLimiter(&log, perSecond, func(lines int) { dropped += lines })
	line := []byte(strings.Repeat("x", 99) + "\n")
	const lines = 100_000
	for range lines {
		n, err := l.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(log.Len() >= logBurstSeconds*perSecond)
	is.Equal(log.Len()%len(line), 0)
	is.Equal(dropped, lines-log.Len()/len(line))
	is.True(dropped > lines/2)
}
