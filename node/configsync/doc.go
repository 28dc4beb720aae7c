// Package configsync keeps the configuration of a node in step with the config
// stream. While the log service is down it takes newer versions from other
// nodes and keeps provisional take-outs until they can be appended.
package configsync
