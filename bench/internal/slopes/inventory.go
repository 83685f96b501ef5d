package slopes

import (
	"encoding/json"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// SingleChangeDelta is the Quantity of the series with the size of a delta in which one service changed.
const SingleChangeDelta = "delta of one change, bytes"

// MeasureDeltas measures the size of the document, of the full delta and of the delta of one changed service for
// inventories with the given numbers of databases.
func MeasureDeltas(databases []int) []Series {
	document := Series{Measurement: "inventory", Quantity: "document, bytes", SizeUnit: "database"}
	full := Series{Measurement: "inventory", Quantity: "full delta, bytes", SizeUnit: "database"}
	single := Series{Measurement: "inventory", Quantity: SingleChangeDelta, SizeUnit: "database"}
	for _, n := range databases {
		old, changed := newLayout(1, n).Inventory(nil), newLayout(1, n).Inventory(nil)
		changed.Services[0].Connections++
		data, err := json.Marshal(old)
		if err != nil {
			panic("slopes: " + err.Error())
		}
		document.addPoint(n, float64(len(data)))
		full.addPoint(n, encodedSize(inventory.Diff(0, nil, 1, &old)))
		single.addPoint(n, encodedSize(inventory.Diff(1, &old, 2, &changed)))
	}
	return fitAll(document, full, single)
}

func encodedSize(v any) float64 {
	data, err := protocol.Encode(v)
	if err != nil {
		panic("slopes: " + err.Error())
	}
	return float64(len(data))
}

func (s *Series) addPoint(size int, value float64) {
	s.Points = append(s.Points, Point{Size: float64(size), Value: value})
}

func fitAll(list ...Series) []Series {
	for i := range list {
		list[i].Fit()
	}
	return list
}
