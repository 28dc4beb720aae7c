// Package quarantine finds workers that fail tasks which other workers
// complete, keeps tasks away from them, and probes them with one task at a
// time until they complete tasks again.
package quarantine
