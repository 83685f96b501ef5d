package output

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Format is the form of printed results.
type Format string

// The formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

// Set reads the format from a flag.
func (f *Format) Set(text string) error {
	switch Format(text) {
	case FormatTable, FormatJSON:
		*f = Format(text)
		return nil
	}
	return fmt.Errorf("output: %q is no format; use table or json", text)
}

// String returns the format's name.
func (f *Format) String() string { return string(*f) }

// Type names the flag's type in help texts.
func (*Format) Type() string { return "table|json" }

// Table is a result as people read it.
type Table struct {
	Title  string
	Header []string
	Rows   [][]string
}

// Printer prints results in one format.
type Printer struct {
	W      io.Writer
	Format Format
}

// Print prints the value as JSON or its tables.
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
		if err := p.table(table); err != nil {
			return err
		}
	}
	return nil
}

func (p *Printer) table(table Table) error {
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
