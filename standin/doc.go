// Package standin holds stand-ins for the systems around the entries, the platform and the targets,
// with faults that can be switched on for tests and experiments.
package standin
