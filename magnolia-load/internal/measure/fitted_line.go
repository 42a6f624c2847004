package measure

// fittedLine is a least-squares line through measured points.
type fittedLine struct {
	Slope     float64
	Intercept float64
	// RSquared is the coefficient of determination, 1 if all points are on the line.
	RSquared float64
}

// sizedValue is a value measured at a size, such as a number of nodes.
type sizedValue struct {
	Size  float64
	Value float64
}

func fitLine(points []sizedValue) fittedLine {
	count := float64(len(points))
	var sumSize, sumValue float64
	for _, measured := range points {
		sumSize += measured.Size
		sumValue += measured.Value
	}
	meanSize, meanValue := sumSize/count, sumValue/count
	var sumSquaredSizes, sumSquaredValues, sumProducts float64
	for _, measured := range points {
		sizeDeviation, valueDeviation := measured.Size-meanSize, measured.Value-meanValue
		sumSquaredSizes += sizeDeviation * sizeDeviation
		sumSquaredValues += valueDeviation * valueDeviation
		sumProducts += sizeDeviation * valueDeviation
	}
	if sumSquaredSizes == 0 || sumSquaredValues == 0 {
		return fittedLine{Intercept: meanValue, RSquared: 1}
	}
	slope := sumProducts / sumSquaredSizes
	return fittedLine{Slope: slope, Intercept: meanValue - slope*meanSize, RSquared: sumProducts * sumProducts / (sumSquaredSizes * sumSquaredValues)}
}

// at returns the line's value at a size.
func (line fittedLine) at(size float64) float64 { return line.Intercept + line.Slope*size }
