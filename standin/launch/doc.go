// Package standin runs each simulated platform service as a process of its
// own. The command-line program calls it with options from flags.
package standin
