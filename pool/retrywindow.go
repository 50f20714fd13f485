package pool

import "time"

const (
	// retryWindow is the time over which retries are counted; users bound the retries in any such span.
	retryWindow = 10 * time.Second
	// windowParts is how many parts the window moves in.
	windowParts = 40
)

// retryWindowCount counts requests and retries in the last retryWindow.
type retryWindowCount struct {
	requests, retries [windowParts]int
	// allRequests and allRetries are the sums of the parts.
	allRequests, allRetries int
	part                    int64
}

// advance drops the parts that lie before the window.
func (w *retryWindowCount) advance(now Time) {
	part := int64(now) / int64(retryWindow/windowParts)
	for range min(part-w.part, windowParts) {
		w.part++
		i := w.part % windowParts
		w.allRequests -= w.requests[i]
		w.allRetries -= w.retries[i]
		w.requests[i], w.retries[i] = 0, 0
	}
	w.part = part
}

func (w *retryWindowCount) addRequest(now Time) {
	w.advance(now)
	w.requests[w.part%windowParts]++
	w.allRequests++
}

func (w *retryWindowCount) addRetry(now Time) {
	w.advance(now)
	w.retries[w.part%windowParts]++
	w.allRetries++
}

// left is how many retries the window still allows: a share of its requests, and a number besides.
func (w *retryWindowCount) left(now Time, percent float64, slack int) float64 {
	w.advance(now)
	return percent/100*float64(w.allRequests) + float64(slack) - float64(w.allRetries)
}
