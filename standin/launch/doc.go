// Package standin runs a simulated platform service (log service, VM list or worker)
// as a process of its own. The command-line program calls it with the options from
// its flags.
package standin
