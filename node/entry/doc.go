// Package entry assembles an entry node on the platform from the HTTP listeners, the
// followers of the store, the intake of client requests and the dispatcher.
package entry
