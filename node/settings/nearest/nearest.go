// Package nearest finds the valid name that a misspelt name most likely stands
// for.
package nearest

import (
	"slices"
	"strings"
)

// Name returns the valid name with the smallest edit distance to got, ignoring
// case. If several are equally close, it returns the first in alphabetical
// order. It returns an empty string if valid is empty.
func Name(got string, valid []string) string {
	best, bestDistance := "", 0
	for _, name := range slices.Sorted(slices.Values(valid)) {
		distance := adjustedDistance(strings.ToLower(got), strings.ToLower(name))
		if best == "" || distance < bestDistance {
			best, bestDistance = name, distance
		}
	}
	return best
}

// minPrefix is the minimum length in bytes of a name that is treated as a
// prefix of another.
const minPrefix = 3

// adjustedDistance returns the edit distance, but at most 2 if one name is a
// prefix of the other, because units are often left out ("cpu" for
// "cpu_milli").
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
