package slopes

import (
	"encoding/json"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// SingleChangeDelta names the size of the delta of one changed service.
const SingleChangeDelta = "delta of one change, bytes"

// MeasureDeltas measures documents and deltas of inventories with numbers of databases.
func MeasureDeltas(databases []int) []Series {
	document := Series{Measurement: "inventory", Quantity: "document, bytes", SizeUnit: "database"}
	full := Series{Measurement: "inventory", Quantity: "full delta, bytes", SizeUnit: "database"}
	one := Series{Measurement: "inventory", Quantity: SingleChangeDelta, SizeUnit: "database"}
	for _, n := range databases {
		old, changed := layout(1, n).Inventory(nil), layout(1, n).Inventory(nil)
		changed.Services[0].Connections++
		text, err := json.Marshal(old)
		if err != nil {
			panic("slopes: " + err.Error())
		}
		document.add(n, float64(len(text)))
		full.add(n, encodedBytes(inventory.Diff(0, nil, 1, &old)))
		one.add(n, encodedBytes(inventory.Diff(1, &old, 2, &changed)))
	}
	return fitted(document, full, one)
}

func encodedBytes(v any) float64 {
	data, err := protocol.Encode(v)
	if err != nil {
		panic("slopes: " + err.Error())
	}
	return float64(len(data))
}

func (s *Series) add(size int, value float64) {
	s.Points = append(s.Points, Point{Size: float64(size), Value: value})
}

func fitted(list ...Series) []Series {
	for i := range list {
		list[i].Fit()
	}
	return list
}
