package measure

import (
	"math"
	"slices"
	"strconv"
)

// Never stands for a time that did not come within the run.
var Never = math.Inf(1)

// Median gives the middle value; of an even number of values, the upper of
// the two in the middle.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// Spread gives the lowest and the highest value.
func Spread(values []float64) (lowest, highest float64) {
	if len(values) == 0 {
		return 0, 0
	}
	return slices.Min(values), slices.Max(values)
}

// number writes a value with four digits that count.
func number(value float64) string {
	const digits = 4
	if math.IsInf(value, 1) {
		return "never"
	}
	if value != 0 && math.Abs(value) < 1000 {
		return strconv.FormatFloat(value, 'g', digits, 64)
	}
	return strconv.FormatFloat(value, 'f', 0, 64)
}
