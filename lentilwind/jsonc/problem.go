package jsonc

import (
	"bytes"
	"fmt"
	"strings"
)

// Problem is one error in a document, with its position and a suggested correction.
type Problem struct {
	// Pointer is the JSON pointer of the invalid value, for example "/routes/2/service".
	Pointer string `json:"pointer"`
	// Line counts from 1; 0 means that the position is unknown.
	Line int `json:"line"`
	// Column counts bytes from 1; 0 means that the position is unknown.
	Column int `json:"column"`
	// Message describes the problem.
	Message string `json:"message"`
	// Remedy suggests a correction.
	Remedy string `json:"remedy,omitempty"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d, column %d: ", p.Line, p.Column)
	}
	b.WriteString(p.Message)
	if p.Remedy != "" {
		b.WriteString("; ")
		b.WriteString(p.Remedy)
	}
	return b.String()
}

// Error reports that a document was refused, with all of its problems.
type Error struct {
	// Problems is never empty.
	Problems []Problem
}

// Error returns the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "jsonc: " + strings.Join(lines, "\n")
}

// position returns the line and column of a byte offset, both counted from 1.
func position(data []byte, offset int) (line, column int) {
	offset = max(0, min(offset, len(data)))
	before := data[:offset]
	line = bytes.Count(before, []byte("\n")) + 1
	column = offset - bytes.LastIndexByte(before, '\n')
	return line, column
}
