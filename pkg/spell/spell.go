package spell

import "strings"

// Nearest returns the known name with the smallest edit distance to the given one, without regard to case. It returns an empty string
// if the smallest distance exceeds both 2 and a third of the name's length.
func Nearest(name string, known []string) string {
	best, bestDistance := "", max(2, len(name)/3)+1
	for _, candidate := range known {
		if d := distance(strings.ToLower(name), strings.ToLower(candidate)); d < bestDistance {
			best, bestDistance = candidate, d
		}
	}

	return best
}

// distance returns the Levenshtein distance of a and b in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}

	return row[len(b)]
}
