// Package explain keeps the reasons for recent decisions about requests in
// bounded memory.
package explain
