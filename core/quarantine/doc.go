// Package quarantine detects faulty workers: workers that fail tasks of classes
// that other workers complete. A worker in quarantine gets no tasks except probes,
// one at a time, until it completes tasks again. A probe is an ordinary task.
package quarantine
