// Package account describes client accounts: the parties on whose behalf jobs are
// submitted, with their API keys, weights and limits. A Directory holds the accounts of
// one configuration. The package does no I/O and never holds a key as plain text.
package account
