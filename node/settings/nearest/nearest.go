// Package nearest finds the valid name that a misspelt one most likely stands
// for.
package nearest

import (
	"slices"
	"strings"
)

// Name returns the valid name with the smallest edit distance to got, the first
// in alphabetical order if several are as near; empty if valid is empty. Letter
// case does not count.
func Name(got string, valid []string) string {
	best, bestDistance := "", 0
	for _, name := range slices.Sorted(slices.Values(valid)) {
		d := adjustedDistance(strings.ToLower(got), strings.ToLower(name))
		if best == "" || d < bestDistance {
			best, bestDistance = name, d
		}
	}
	return best
}

// minPrefix is the shortest name that is taken as the start of another.
const minPrefix = 3

// adjustedDistance is the edit distance, but at most 2 for a name that starts the other,
// because units are often left out ("cpu" for "cpu_milli").
func adjustedDistance(a, b string) int {
	d := editDistance(a, b)
	short := min(len(a), len(b))
	if short >= minPrefix && a[:short] == b[:short] {
		return min(d, 2)
	}
	return d
}

// editDistance returns the number of single-byte insertions, deletions and
// replacements that turn a into b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := diagonal
			if a[i-1] != b[j-1] {
				cost++
			}
			diagonal = row[j]
			row[j] = min(cost, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}
