package measure

import (
	"math"
	"slices"
	"strconv"
)

// Never is the value of a time that was not reached within the run.
var Never = math.Inf(1)

// Median returns the middle value; for an even number of values the upper of the
// two in the middle, and for none zero.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// Range returns the lowest and the highest value.
func Range(values []float64) (lowest, highest float64) {
	if len(values) == 0 {
		return 0, 0
	}
	return slices.Min(values), slices.Max(values)
}

// formatNumber formats a value with four significant digits; values of 1000 and
// more are rounded to integers.
func formatNumber(value float64) string {
	const significantDigits = 4
	if math.IsInf(value, 1) {
		return "never"
	}
	if value != 0 && math.Abs(value) < 1000 {
		return strconv.FormatFloat(value, 'g', significantDigits, 64)
	}
	return strconv.FormatFloat(value, 'f', 0, 64)
}
