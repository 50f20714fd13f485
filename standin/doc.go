// Package standin provides stand-ins for the systems around the entries, the platform and the
// targets, with faults that tests and experiments can switch on.
package standin
