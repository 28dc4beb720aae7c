// Package configsync keeps a node's configuration up to date with the config
// stream of the log service. While the log service is down, it fetches newer
// versions from other nodes and keeps provisional take-outs until they can be
// appended.
package configsync
