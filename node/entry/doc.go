// Package entry composes an entry node on the platform: listeners, followers
// of the store, the intake of requests and the dispatcher.
package entry
