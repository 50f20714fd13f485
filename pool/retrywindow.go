package pool

import "time"

const (
	// retryWindow is the time over which retries are counted. The limit on retries applies to any such span.
	retryWindow = 10 * time.Second
	// windowBuckets is the number of buckets of the sliding window.
	windowBuckets = 40
)

// retryWindowCount counts the requests and retries in the last retryWindow.
type retryWindowCount struct {
	requests, retries [windowBuckets]int
	// totalRequests and totalRetries are the sums over the buckets.
	totalRequests, totalRetries int
	bucket                      int64
}

// advance drops the buckets that are older than the window.
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

// remaining returns how many retries the window still allows: a percentage of its requests plus slack.
func (w *retryWindowCount) remaining(now Time, percent float64, slack int) float64 {
	w.advance(now)
	return percent/100*float64(w.totalRequests) + float64(slack) - float64(w.totalRetries)
}
