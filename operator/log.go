package operator

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"slices"
	"sync"
	"time"
)

// LogOptions choose what of the entries' logs is shown.
type LogOptions struct {
	// Follow goes on with new lines until the context ends.
	Follow bool
	// Event leaves out lines of other events; empty shows all.
	Event string
	// JSON writes the lines as the entries wrote them.
	JSON bool
	// RetryAfter is the pause before a log that ended is followed again; 0 means 1 s.
	RetryAfter time.Duration
}

const (
	// maxLineBytes bounds a log line.
	maxLineBytes = 1 << 20
	// keptSeen is how many lines are remembered for an entry, so that lines that it repeats when it is
	// asked again are not shown twice. An entry repeats its last 200.
	keptSeen = 512
	// defaultRetryAfter is the pause before an entry whose log ended is asked again.
	defaultRetryAfter = time.Second
)

// logLine is one line of an entry's log.
type logLine struct {
	raw []byte
	// millis is the time in milliseconds since 1970; 0 if the line has none.
	millis int64
	event  string
}

func parseLine(raw []byte) logLine {
	var fields struct {
		Time  int64  `json:"time"`
		Event string `json:"event"`
	}
	// A line that is not JSON is shown as it stands, without a time.
	_ = json.Unmarshal(raw, &fields)
	return logLine{raw: slices.Clone(raw), millis: fields.Time, event: fields.Event}
}

// logReader merges the logs of several entries.
type logReader struct {
	client  *Client
	options LogOptions

	mu       sync.Mutex
	w        io.Writer
	writeErr error
	// stop ends the reading after a write has failed.
	stop context.CancelFunc
}

// Log writes the last log lines of all entries in the order of their times, and then, with Follow, new
// ones as they arrive. Entries that can't be reached are returned and written as lines of the event
// entryUnreachable.
func Log(ctx context.Context, c *Client, w io.Writer, o LogOptions) ([]EntryError, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := &logReader{client: c, options: o, w: w, stop: stop}
	answers := ask(ctx, c, r.last)
	var lines []logLine
	for _, a := range answers {
		lines = append(lines, a.value...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.millis, b.millis) })
	for _, l := range lines {
		r.write(l)
	}
	failed := unreachable(answers)
	for _, f := range failed {
		r.write(unreachableLine(f))
	}
	if o.Follow {
		var all sync.WaitGroup
		for _, a := range answers {
			all.Go(func() { r.follow(ctx, a) })
		}
		all.Wait()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return failed, Error.Wrap(r.writeErr)
}

// last reads the lines that an entry keeps.
func (r *logReader) last(ctx context.Context, a Address) ([]logLine, error) {
	var out []logLine
	err := r.read(ctx, a, nil, func(l logLine) { out = append(out, l) })
	return out, err
}

// read calls line for each line of an entry's log until the log ends.
func (r *logReader) read(ctx context.Context, a Address, query url.Values, line func(logLine)) error {
	body, err := r.client.open(ctx, a, "/v1/log", query)
	if err != nil {
		return err
	}
	defer body.Close()
	s := bufio.NewScanner(body)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		line(parseLine(s.Bytes()))
	}
	if err := s.Err(); err != nil {
		return askError(err)
	}
	return nil
}

// follow shows new lines of an entry until ctx ends. It asks again when the entry can't be reached, and
// says so once for each time.
func (r *logReader) follow(ctx context.Context, a asked[[]logLine]) {
	seen := a.value
	reported := a.err != nil
	for ctx.Err() == nil {
		repeated := make(map[string]int, len(seen))
		for _, l := range seen {
			repeated[string(l.raw)]++
		}
		err := r.read(ctx, a.Address, url.Values{"follow": {"1"}}, func(l logLine) {
			reported = false
			if repeated[string(l.raw)] > 0 {
				repeated[string(l.raw)]--
				return
			}
			seen = append(seen, l)
			if len(seen) >= 2*keptSeen {
				seen = append(seen[:0], seen[len(seen)-keptSeen:]...)
			}
			r.write(l)
		})
		if ctx.Err() != nil {
			return
		}
		if !reported {
			reported = true
			text := "the log ended"
			if err != nil {
				text = reason(err)
			}
			r.write(unreachableLine(EntryError{Entry: a.name(), Address: a.Address.Address, Error: text}))
		}
		pause(ctx, cmp.Or(r.options.RetryAfter, defaultRetryAfter))
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// eventUnreachable is the event of lines that the client adds; the filter for events keeps them.
const eventUnreachable = "entryUnreachable"

// unreachableLine is a log line in the form of the entries' own.
func unreachableLine(f EntryError) logLine {
	line := struct {
		Level   string `json:"level"`
		Entry   string `json:"entry"`
		Event   string `json:"event"`
		Address string `json:"address"`
		Error   string `json:"error"`
		Time    int64  `json:"time"`
	}{"error", f.Entry, eventUnreachable, f.Address, f.Error, time.Now().UnixMilli()}
	// Strings and numbers can always be encoded.
	raw, _ := json.Marshal(line)
	return logLine{raw: raw, millis: line.Time, event: line.Event}
}

// write writes one line if the filter lets it through.
func (r *logReader) write(l logLine) {
	if r.options.Event != "" && l.event != r.options.Event && l.event != eventUnreachable {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writeErr != nil {
		return
	}
	text := append(slices.Clone(l.raw), '\n')
	if !r.options.JSON {
		text = []byte(l.text())
	}
	if _, r.writeErr = r.w.Write(text); r.writeErr != nil {
		r.stop()
	}
}

// headFields are written first, in this order, without their names.
var headFields = []string{"level", "entry", "event"}

// text returns the line for people: time, level, entry, event, then the other fields as they came.
func (l logLine) text() string {
	names, values, ok := fieldsOf(l.raw)
	if !ok {
		return string(l.raw) + "\n"
	}
	var b bytes.Buffer
	b.WriteString(timeText(time.UnixMilli(l.millis)))
	for _, name := range headFields {
		fmt.Fprintf(&b, " %s", cmp.Or(values[name], noCell))
	}
	for _, name := range names {
		if name == "time" || slices.Contains(headFields, name) {
			continue
		}
		fmt.Fprintf(&b, " %s=%s", name, values[name])
	}
	b.WriteByte('\n')
	return b.String()
}

// fieldsOf returns the names of a JSON object's fields in their order and the values as text. Strings
// stand without quotes if they hold no space.
func fieldsOf(raw []byte) (names []string, values map[string]string, ok bool) {
	d := json.NewDecoder(bytes.NewReader(raw))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, nil, false
	}
	values = make(map[string]string)
	for d.More() {
		t, err := d.Token()
		name, isName := t.(string)
		if err != nil || !isName {
			return nil, nil, false
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return nil, nil, false
		}
		names = append(names, name)
		values[name] = string(value)
		var text string
		if json.Unmarshal(value, &text) == nil && text != "" && !bytes.ContainsAny([]byte(text), " \"\n\t") {
			values[name] = text
		}
	}
	return names, values, true
}
