package entry

import "sync"

// historyLines is the maximum number of recent log lines that Follow returns.
const historyLines = 200

// followerBuffer is how many lines a follower may lag. Further lines are dropped for it, because a slow reader
// must not delay requests.
const followerBuffer = 1024

// LogLines keeps the recent log lines and streams new ones to followers. It is the io.Writer of a logger that
// writes one line per call.
type LogLines struct {
	mu        sync.Mutex
	last      [][]byte
	followers map[chan []byte]struct{}
}

// Write implements io.Writer.
func (l *LogLines) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = append(l.last, copied)
	if len(l.last) >= 2*historyLines {
		l.last = append(l.last[:0], l.last[len(l.last)-historyLines:]...)
	}
	for f := range l.followers {
		select {
		case f <- copied:
		default:
		}
	}
	return len(line), nil
}

// lastLines returns the recent lines, oldest first. The caller holds mu.
func (l *LogLines) lastLines() [][]byte {
	return append([][]byte(nil), l.last[max(0, len(l.last)-historyLines):]...)
}

// Follow returns the recent lines, a channel of new lines, and a function that stops following. No line is in
// both.
func (l *LogLines) Follow() (last [][]byte, lines <-chan []byte, stop func()) {
	ch := make(chan []byte, followerBuffer)
	l.mu.Lock()
	defer l.mu.Unlock()
	last = l.lastLines()
	if l.followers == nil {
		l.followers = make(map[chan []byte]struct{})
	}
	l.followers[ch] = struct{}{}
	return last, ch, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.followers, ch)
	}
}
