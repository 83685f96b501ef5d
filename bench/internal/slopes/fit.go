package slopes

import "math"

// Point is a value measured at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is a quantity measured at several sizes and the least-squares line through the points.
type Series struct {
	Measurement string  `json:"measurement"`
	Quantity    string  `json:"value"`
	SizeUnit    string  `json:"per"`
	Points      []Point `json:"points"`
	Slope       float64 `json:"slope"`
	Intercept   float64 `json:"intercept"`
	// Residual is the root mean square of the differences between the points and the line.
	Residual float64 `json:"residual"`
}

// Fit computes Slope, Intercept and Residual from Points. The slope stays 0 unless there are points at different sizes.
func (s *Series) Fit() {
	n := float64(len(s.Points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range s.Points {
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	if denominator := n*sumXX - sumX*sumX; denominator > 0 {
		s.Slope = (n*sumXY - sumX*sumY) / denominator
	}
	if n == 0 {
		return
	}
	s.Intercept = (sumY - s.Slope*sumX) / n
	var squaredResiduals float64
	for _, p := range s.Points {
		residual := p.Value - s.Intercept - s.Slope*p.Size
		squaredResiduals += residual * residual
	}
	s.Residual = math.Sqrt(squaredResiduals / n)
}
