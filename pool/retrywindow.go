package pool

import "time"

const (
	// retryWindow is the time over which retries are counted; users bound the retries in any such span.
	retryWindow = 10 * time.Second
	// windowBuckets is how many parts the window moves in.
	windowBuckets = 40
)

// retryWindowCount counts requests and retries in the last retryWindow.
type retryWindowCount struct {
	requests, retries [windowBuckets]int
	// totalRequests and totalRetries are the sums of the parts.
	totalRequests, totalRetries int
	bucket                      int64
}

// advance drops the parts that lie before the window.
func (w *retryWindowCount) advance(now Time) {
	bucket := int64(now) / int64(retryWindow/windowBuckets)
	for range min(bucket-w.bucket, windowBuckets) {
		w.bucket++
		i := w.bucket % windowBuckets
		w.totalRequests -= w.requests[i]
		w.totalRetries -= w.retries[i]
		w.requests[i], w.retries[i] = 0, 0
	}
	w.bucket = bucket
}

func (w *retryWindowCount) addRequest(now Time) {
	w.advance(now)
	w.requests[w.bucket%windowBuckets]++
	w.totalRequests++
}

func (w *retryWindowCount) addRetry(now Time) {
	w.advance(now)
	w.retries[w.bucket%windowBuckets]++
	w.totalRetries++
}

// remaining is how many retries the window still allows: a share of its requests, and a number besides.
func (w *retryWindowCount) remaining(now Time, percent float64, slack int) float64 {
	w.advance(now)
	return percent/100*float64(w.totalRequests) + float64(slack) - float64(w.totalRetries)
}
