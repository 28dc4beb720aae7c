// Package bounded provides a map with a limited number of entries that drops the
// least recently used one (an LRU cache). With it, learned state does not grow
// with the number of distinct names that clients send.
package bounded
