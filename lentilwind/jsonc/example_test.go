package jsonc_test

import (
	"fmt"

	"lentilwind.dev/lentilwind/jsonc"
)

func ExampleDocument() {
	document, err := jsonc.Parse([]byte(`{
  // The wait for a connection.
  "queueFor": "250ms",
  "colour": "red",
}`))
	if err != nil {
		panic(err)
	}
	var settings struct {
		QueueFor jsonc.Duration `json:"queueFor"`
	}
	fmt.Println(document.Decode(&settings))
	// Output:
	// jsonc: line 4, column 13: unknown field "colour"; remove it or use one of: queueFor
}
