package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is a connection of a client to a front address.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	// whole says that the body came to its end.
	whole bool
	close bool
}

// send writes a request. fields are header fields with their line ends.
func (c *client) send(method, host, path, fields string, body string) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", method, path, host, fields)
	if body != "" || method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := io.WriteString(c, head+"\r\n"+body)
	return err
}

// receive reads an answer.
func (c *client) receive(method string, limit time.Duration) (answer, error) {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, header: r.Header, body: b, whole: err == nil, close: r.Close}, nil
}
