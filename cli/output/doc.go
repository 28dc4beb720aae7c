// Package output writes results of commands as aligned tables or as WriteJSON, and
// progress lines of long waits. It writes no colour codes.
package output
