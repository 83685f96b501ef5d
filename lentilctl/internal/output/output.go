package output

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Format is the output format of results.
type Format string

// Output formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

// Set parses the value of the flag. It implements pflag.Value.
func (f *Format) Set(text string) error {
	switch Format(text) {
	case FormatTable, FormatJSON:
		*f = Format(text)
		return nil
	}
	return fmt.Errorf("output: unknown format %q; use table or json", text)
}

// String implements pflag.Value.
func (f *Format) String() string { return string(*f) }

// Type names the accepted values in help texts. It implements pflag.Value.
func (*Format) Type() string { return "table|json" }

// Table is a result as printed in the table format.
type Table struct {
	Title  string
	Header []string
	Rows   [][]string
}

// Printer prints results to W in the given format.
type Printer struct {
	W      io.Writer
	Format Format
}

// Print prints value in the JSON format and tables in the table format.
func (p *Printer) Print(value any, tables ...Table) error {
	if p.Format == FormatJSON {
		encoder := json.NewEncoder(p.W)
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		return encoder.Encode(value)
	}
	for i, table := range tables {
		if i > 0 {
			fmt.Fprintln(p.W)
		}
		if err := p.printTable(table); err != nil {
			return err
		}
	}
	return nil
}

func (p *Printer) printTable(table Table) error {
	if table.Title != "" {
		fmt.Fprintln(p.W, table.Title)
	}
	w := tabwriter.NewWriter(p.W, 0, 0, 2, ' ', 0)
	if len(table.Header) > 0 {
		fmt.Fprintln(w, strings.Join(table.Header, "\t"))
	}
	for _, row := range table.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
