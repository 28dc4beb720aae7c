// Package explain keeps the reasons of recent decisions about requests in
// bounded memory.
package explain
