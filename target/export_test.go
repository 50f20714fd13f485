package target

// Faulty variants: each switches off one rule, so that the tests show that they notice.

// TrustIdleConnections makes c reuse connections without looking for late bytes.
func TrustIdleConnections(c *Client) {
	c.once.Do(c.init)
	c.store.trustIdle = true
}

// DisablePathMonitor leaves large requests to the kernel's user timeout.
func DisablePathMonitor(c *Client) { c.noPathWatch = true }

// IdleWithoutUnreadBytes says that no bytes wait on the idle connections to a target.
func IdleWithoutUnreadBytes(c *Client, address string) bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if h := c.store.hosts[address]; h != nil {
		for _, cn := range h.idle {
			if !cn.quiet() {
				return false
			}
		}
	}
	return true
}
