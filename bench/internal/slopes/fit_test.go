package slopes_test

import (
	"math"
	"testing"

	"lentilwind.dev/bench/internal/slopes"
)

func TestFitComputesLineAndResidual(t *testing.T) {
	line := slopes.Series{Points: []slopes.Point{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 4, Value: 11}}}
	line.Fit()
	if math.Abs(line.Slope-2) > 1e-9 || math.Abs(line.Intercept-3) > 1e-9 || line.Residual > 1e-9 {
		t.Errorf("got %+v, want slope 2, intercept 3, residual 0", line)
	}
	nonlinear := slopes.Series{Points: []slopes.Point{{Size: 0, Value: 0}, {Size: 1, Value: 3}, {Size: 2, Value: 0}}}
	nonlinear.Fit()
	if math.Abs(nonlinear.Slope) > 1e-9 || math.Abs(nonlinear.Residual-math.Sqrt2) > 1e-9 {
		t.Errorf("got %+v, want slope 0 and residual √2", nonlinear)
	}
}

func TestSingleChangeDeltaStaysSmall(t *testing.T) {
	for _, s := range slopes.MeasureDeltas([]int{90, 450, 1400}) {
		if len(s.Points) != 3 {
			t.Fatalf("%s has %d points, want 3", s.Quantity, len(s.Points))
		}
		if s.Quantity == slopes.SingleChangeDelta && s.Points[2].Value > 2*s.Points[0].Value {
			t.Errorf("size of the delta of one change grows with the inventory: %v", s.Points)
		}
	}
}
