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

// LogOptions selects the log lines and their form.
type LogOptions struct {
	// Follow writes new lines as they arrive, until the context ends.
	Follow bool
	// Event omits the lines of other events; empty means all events.
	Event string
	// JSON writes the lines exactly as the entries wrote them.
	JSON bool
	// ReconnectDelay is the pause before the client reconnects to a log that ended; 0 means 1 s.
	ReconnectDelay time.Duration
}

const (
	// maxLineBytes bounds the length of a log line.
	maxLineBytes = 1 << 20
	// dedupWindow is how many recent lines of an entry are remembered, so that lines that the entry sends again
	// after a reconnect are written only once. An entry sends its last 200 lines with each request.
	dedupWindow = 512
	// defaultReconnectDelay applies if LogOptions.ReconnectDelay is 0.
	defaultReconnectDelay = time.Second
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
	// A line that is not JSON is written unchanged; it has no time.
	_ = json.Unmarshal(raw, &fields)
	return logLine{raw: slices.Clone(raw), millis: fields.Time, event: fields.Event}
}

// logMerger merges the logs of several entries.
type logMerger struct {
	client  *Client
	options LogOptions

	mu       sync.Mutex
	w        io.Writer
	writeErr error
	// stop cancels the requests after a write has failed.
	stop context.CancelFunc
}

// Log writes the stored log lines of all entries in the order of their times. With Follow it then writes new
// lines as they arrive. It returns the entries that can't be reached, and writes a line with the event
// entryUnreachable for each of them. The error is of class Error if a write failed.
func Log(ctx context.Context, c *Client, w io.Writer, o LogOptions) ([]EntryError, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	m := &logMerger{client: c, options: o, w: w, stop: stop}
	responses := queryAll(ctx, c, m.readStored)
	var lines []logLine
	for _, a := range responses {
		lines = append(lines, a.value...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.millis, b.millis) })
	for _, l := range lines {
		m.writeLine(l)
	}
	failed := unreachableEntries(responses)
	for _, f := range failed {
		m.writeLine(unreachableLine(f))
	}
	if o.Follow {
		var wg sync.WaitGroup
		for _, a := range responses {
			wg.Go(func() { m.follow(ctx, a) })
		}
		wg.Wait()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return failed, Error.Wrap(m.writeErr)
}

// readStored reads the recent lines that an entry stores.
func (m *logMerger) readStored(ctx context.Context, a Address) ([]logLine, error) {
	var out []logLine
	err := m.read(ctx, a, nil, func(l logLine) { out = append(out, l) })
	return out, err
}

// read calls line for each line of an entry's log until the log ends.
func (m *logMerger) read(ctx context.Context, a Address, query url.Values, line func(logLine)) error {
	body, err := m.client.open(ctx, a, "/v1/log", query)
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
		return requestError(err)
	}
	return nil
}

// follow writes new lines of an entry until ctx ends. It reconnects when the log ends or the entry can't be
// reached, and reports that once until the entry sends lines again.
func (m *logMerger) follow(ctx context.Context, a entryResponse[[]logLine]) {
	seen := a.value
	reported := a.err != nil
	for ctx.Err() == nil {
		unmatched := make(map[string]int, len(seen))
		for _, l := range seen {
			unmatched[string(l.raw)]++
		}
		err := m.read(ctx, a.Address, url.Values{"follow": {"1"}}, func(l logLine) {
			reported = false
			if unmatched[string(l.raw)] > 0 {
				unmatched[string(l.raw)]--
				return
			}
			seen = append(seen, l)
			if len(seen) >= 2*dedupWindow {
				seen = append(seen[:0], seen[len(seen)-dedupWindow:]...)
			}
			m.writeLine(l)
		})
		if ctx.Err() != nil {
			return
		}
		if !reported {
			reported = true
			text := "the log ended"
			if err != nil {
				text = errorText(err)
			}
			m.writeLine(unreachableLine(EntryError{Entry: a.displayName(), Address: a.Address.Address, Error: text}))
		}
		sleep(ctx, cmp.Or(m.options.ReconnectDelay, defaultReconnectDelay))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// eventUnreachable is the event of the lines that the client adds. LogOptions.Event does not omit them.
const eventUnreachable = "entryUnreachable"

// unreachableLine returns a log line in the format of the entries' own lines.
func unreachableLine(f EntryError) logLine {
	line := struct {
		Level   string `json:"level"`
		Entry   string `json:"entry"`
		Event   string `json:"event"`
		Address string `json:"address"`
		Error   string `json:"error"`
		Time    int64  `json:"time"`
	}{"error", f.Entry, eventUnreachable, f.Address, f.Error, time.Now().UnixMilli()}
	// Encoding strings and numbers can't fail.
	raw, _ := json.Marshal(line)
	return logLine{raw: raw, millis: line.Time, event: line.Event}
}

// writeLine writes a line unless LogOptions.Event omits it.
func (m *logMerger) writeLine(l logLine) {
	if m.options.Event != "" && l.event != m.options.Event && l.event != eventUnreachable {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.writeErr != nil {
		return
	}
	text := append(slices.Clone(l.raw), '\n')
	if !m.options.JSON {
		text = []byte(l.text())
	}
	if _, m.writeErr = m.w.Write(text); m.writeErr != nil {
		m.stop()
	}
}

// leadingFields are the fields that the text form writes first, in this order and without their names.
var leadingFields = []string{"level", "entry", "event"}

// text returns the text form of the line: time, level, entry and event, then the other fields in their order.
func (l logLine) text() string {
	names, values, ok := parseFields(l.raw)
	if !ok {
		return string(l.raw) + "\n"
	}
	var b bytes.Buffer
	b.WriteString(timeText(time.UnixMilli(l.millis)))
	for _, name := range leadingFields {
		fmt.Fprintf(&b, " %s", cmp.Or(values[name], missingValue))
	}
	for _, name := range names {
		if name == "time" || slices.Contains(leadingFields, name) {
			continue
		}
		fmt.Fprintf(&b, " %s=%s", name, values[name])
	}
	b.WriteByte('\n')
	return b.String()
}

// parseFields returns the names of a JSON object's fields in their order, and the values as text. It removes
// the quotes of strings that are not empty and contain no white space and no quotes.
func parseFields(raw []byte) (names []string, values map[string]string, ok bool) {
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
