package slopes

import "math"

// Point is one measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is one value over sizes with its least-squares line.
type Series struct {
	Measurement string  `json:"measurement"`
	Quantity    string  `json:"value"`
	SizeUnit    string  `json:"per"`
	Points      []Point `json:"points"`
	Slope       float64 `json:"slope"`
	Intercept   float64 `json:"intercept"`
	// Residual is the root of the mean square of what the line misses.
	Residual float64 `json:"residual"`
}

// Fit fills in the line of a series.
func (s *Series) Fit() {
	n := float64(len(s.Points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range s.Points {
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	if spread := n*sumXX - sumX*sumX; spread > 0 {
		s.Slope = (n*sumXY - sumX*sumY) / spread
	}
	if n == 0 {
		return
	}
	s.Intercept = (sumY - s.Slope*sumX) / n
	var squares float64
	for _, p := range s.Points {
		missed := p.Value - s.Intercept - s.Slope*p.Size
		squares += missed * missed
	}
	s.Residual = math.Sqrt(squares / n)
}
