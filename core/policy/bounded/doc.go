// Package bounded provides a map that holds a limited number of entries and
// drops the least recently used one, so that learned state cannot grow with
// the number of distinct names that callers send.
package bounded
