package peer

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an outdated heartbeat going out in place of the newest after the wait for a connection: peers then
// take an entry that serves for one that is starting until its next heartbeat.
func TestLatestHeartbeatIsSent(t *testing.T) {
	is := is.New(t)
	queue := make(chan []byte, heartbeatQueueSize)
	is.Equal(string(latestHeartbeat(queue, []byte("starting"))), "starting")
	queue <- []byte("starting")
	queue <- []byte("serving")
	is.Equal(string(latestHeartbeat(queue, []byte("starting"))), "serving")
	is.Equal(len(queue), 0)
}
