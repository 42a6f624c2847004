package measure

// line is a straight line through measured points, by least squares.
type line struct {
	Slope     float64
	Intercept float64
	// Fit is the coefficient of determination, one for points on the line.
	Fit float64
}

// point is a measured value at a size.
type point struct {
	Size  float64
	Value float64
}

func fitLine(points []point) line {
	count := float64(len(points))
	var sumSize, sumValue float64
	for _, measured := range points {
		sumSize += measured.Size
		sumValue += measured.Value
	}
	meanSize, meanValue := sumSize/count, sumValue/count
	var sizes, values, both float64
	for _, measured := range points {
		size, value := measured.Size-meanSize, measured.Value-meanValue
		sizes += size * size
		values += value * value
		both += size * value
	}
	if sizes == 0 || values == 0 {
		return line{Intercept: meanValue, Fit: 1}
	}
	slope := both / sizes
	return line{Slope: slope, Intercept: meanValue - slope*meanSize, Fit: both * both / (sizes * values)}
}

// at gives the line's value at a size.
func (l line) at(size float64) float64 { return l.Intercept + l.Slope*size }
