package operator

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// line returns a log line of an entry.
func line(entry, event, millis string) string {
	return `{"level":"info","entry":"` + entry + `","event":"` + event + `","note":"a b","time":` + millis + "}\n"
}

// Guards against merged lines out of order, lines of other events in spite of the filter, and lines that
// differ from what the entry wrote.
func TestLogMerges(t *testing.T) {
	tests := []struct {
		name    string
		options LogOptions
		want    string
	}{
		{"all", LogOptions{JSON: true}, line("e2", "x", "1") + line("e1", "x", "2") + line("e1", "y", "3") + line("e2", "y", "4")},
		{"event", LogOptions{JSON: true, Event: "y"}, line("e1", "y", "3") + line("e2", "y", "4")},
		{"text", LogOptions{Event: "none"}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			n := fakeNetwork{"a": newFakeEntry("e1"), "b": newFakeEntry("e2")}
			n["a"].log = []string{line("e1", "x", "2"), line("e1", "y", "3")}
			n["b"].log = []string{line("e2", "x", "1"), line("e2", "y", "4")}
			var b strings.Builder
			failed, err := Log(t.Context(), n.client("a", "b"), &b, test.options)
			is.NoErr(err)
			is.Equal(len(failed), 0)
			is.Equal(b.String(), test.want)
		})
	}
}

// Guards against duplicate or missing lines when a followed log ends and the client reconnects, after which
// the entry sends its last lines again. Also guards against a log that ends without a report.
func TestLogFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		one, two, three := line("e1", "x", "1"), line("e1", "x", "2"), line("e1", "x", "3")
		n := fakeNetwork{"a": newFakeEntry("e1")}
		n["a"].log = []string{one, one}
		n["a"].streams = []string{one + one + two, one + one + two + two + three, ""}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var b strings.Builder
		failed, err := Log(ctx, n.client("a"), &b, LogOptions{Follow: true, JSON: true})
		is.NoErr(err)
		is.Equal(len(failed), 0)
		lines := strings.SplitAfter(b.String(), "\n")
		is.Equal(strings.Join(append(lines[:3:3], lines[4:6]...), ""), one+one+two+two+three)
		is.True(strings.Contains(lines[3], `"event":"entryUnreachable"`))
		is.Equal(len(lines), 8) // the report that the log ended again, and the empty string after the last line
	})
}

// Guards against text lines that lose a field or whose fields can't be told apart.
func TestLogText(t *testing.T) {
	tests := []struct{ raw, want string }{
		{`{"level":"info","a":"x y","n":3,"entry":"e1","event":"x","list":["p"]}`, ` info e1 x a="x y" n=3 list=["p"]`},
		{`{"level":"warn","a":""}`, ` warn - - a=""`},
		{`no JSON`, `no JSON`},
	}
	for _, test := range tests {
		is := is.New(t)
		is.True(strings.HasSuffix(parseLine([]byte(test.raw)).text(), test.want+"\n"))
	}
}
