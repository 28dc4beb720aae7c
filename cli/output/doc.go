// Package output writes the results of commands as aligned tables or as JSON, and
// progress lines during long waits. It writes no colour codes.
package output
