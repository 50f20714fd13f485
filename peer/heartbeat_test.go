package peer

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against sending an outdated heartbeat instead of the latest after the wait for a connection. Peers
// would then take a serving entry for a starting one until its next heartbeat.
func TestLatestHeartbeatIsSent(t *testing.T) {
	is := is.New(t)
	queue := make(chan []byte, heartbeatQueueSize)
	is.Equal(string(latestHeartbeat(queue, []byte("starting"))), "starting")
	queue <- []byte("starting")
	queue <- []byte("serving")
	is.Equal(string(latestHeartbeat(queue, []byte("starting"))), "serving")
	is.Equal(len(queue), 0)
}
