package target

// TrustIdleConnections and DisablePathMonitor disable safeguards, so that tests can show that they
// detect their absence.

// TrustIdleConnections makes c reuse connections without checking for unread bytes and nonces.
func TrustIdleConnections(c *Client) {
	c.once.Do(c.init)
	c.conns.trustIdle = true
}

// DisablePathMonitor leaves large requests to the kernel's user timeout.
func DisablePathMonitor(c *Client) { c.noPathMonitor = true }

// IdleWithoutUnreadBytes reports whether the idle connections to a target have no unread bytes.
func IdleWithoutUnreadBytes(c *Client, address string) bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if h := c.conns.hosts[address]; h != nil {
		for _, cn := range h.idle {
			if !cn.noUnreadBytes() {
				return false
			}
		}
	}
	return true
}

// BodyEnded reports whether the request body is not being sent any more.
func BodyEnded(r *Response) bool { return !r.Body.(*responseBody).attempt.sendingBody() }
