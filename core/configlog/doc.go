// Package configlog applies the records of the config stream, in offset order,
// to compute the configuration in force. Each change names the version that it
// is based on and is rejected if another version is in force at its place in
// the stream. All readers of the stream therefore reach the same result.
package configlog
