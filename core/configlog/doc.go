// Package configlog folds the records of the config stream, in offset order,
// into the configuration in force. All readers of the stream get the same
// result: a change that names another base than the version in force is
// rejected everywhere alike.
package configlog
