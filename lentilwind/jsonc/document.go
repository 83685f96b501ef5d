package jsonc

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Document is a parsed text that records the position of each of its values.
type Document struct {
	data []byte
	root hujson.Value
}

// Parse parses JSON with comments and trailing commas; a syntax error is returned as an *Error with its position.
func Parse(data []byte) (*Document, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, &Error{Problems: []Problem{syntaxProblem(data, err)}}
	}
	return &Document{data: data, root: root}, nil
}

// Decode decodes the document into target, a pointer to a struct; unknown fields and wrong types are errors.
func (d *Document) Decode(target any) error {
	problems := unknownFields(&d.root, reflect.TypeOf(target), "")
	standard, err := hujson.Standardize(append([]byte(nil), d.data...))
	if err != nil {
		return &Error{Problems: []Problem{syntaxProblem(d.data, err)}}
	}
	if err := json.Unmarshal(standard, target); err != nil {
		problems = append(problems, d.decodeProblem(err))
	}
	return d.NewError(problems)
}

// NewError adds line and column to the problems and returns them as one *Error, or nil if there are none.
func (d *Document) NewError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	located := make([]Problem, len(problems))
	for i, p := range problems {
		located[i] = d.locate(p)
	}
	return &Error{Problems: located}
}

// locate sets the line and column of a problem to those of the value at its pointer, or of the closest ancestor that exists.
func (d *Document) locate(p Problem) Problem {
	if p.Line > 0 {
		return p
	}
	pointer := p.Pointer
	for {
		if v := d.root.Find(pointer); v != nil {
			p.Line, p.Column = position(d.data, v.StartOffset)
			return p
		}
		i := strings.LastIndexByte(pointer, '/')
		if i < 0 {
			return p
		}
		pointer = pointer[:i]
	}
}

func (d *Document) decodeProblem(err error) Problem {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		line, column := position(d.data, int(typeErr.Offset)-1)
		return Problem{
			Line: line, Column: column,
			Message: fmt.Sprintf("field %q cannot hold a JSON %s", typeErr.Field, typeErr.Value),
			Remedy:  fmt.Sprintf("write a value of type %s", typeErr.Type),
		}
	}
	return Problem{Message: strings.TrimPrefix(err.Error(), "json: ")}
}

func syntaxProblem(data []byte, err error) Problem {
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	p := Problem{Message: message, Remedy: "correct the JSON syntax"}
	var line, column int
	if n, scanErr := fmt.Sscanf(message, "line %d, column %d:", &line, &column); n == 2 && scanErr == nil {
		p.Line, p.Column = line, column
		if _, rest, found := strings.Cut(message, ": "); found {
			p.Message = rest
		}
		return p
	}
	p.Line, p.Column = position(data, len(data))
	return p
}

// unknownFields walks the document alongside the type and reports members that match no field.
func unknownFields(v *hujson.Value, t reflect.Type, pointer string) []Problem {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]()) {
		return nil
	}
	switch node := v.Value.(type) {
	case *hujson.Object:
		return unknownMembers(node, t, pointer)
	case *hujson.Array:
		if t.Kind() != reflect.Slice && t.Kind() != reflect.Array {
			return nil
		}
		var problems []Problem
		for i := range node.Elements {
			problems = append(problems, unknownFields(&node.Elements[i], t.Elem(), fmt.Sprintf("%s/%d", pointer, i))...)
		}
		return problems
	}
	return nil
}

func unknownMembers(node *hujson.Object, t reflect.Type, pointer string) []Problem {
	var problems []Problem
	fields := fieldTypes(t)
	seen := make(map[string]bool, len(node.Members))
	for i := range node.Members {
		m := &node.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		memberPointer := pointer + "/" + escapePointer(name)
		if seen[name] {
			problems = append(problems, Problem{
				Pointer: memberPointer,
				Message: fmt.Sprintf("field %q stands twice", name), Remedy: "keep one of them",
			})
		}
		seen[name] = true
		switch {
		case t.Kind() == reflect.Map:
			problems = append(problems, unknownFields(&m.Value, t.Elem(), memberPointer)...)
		case t.Kind() != reflect.Struct:
		case fields[name] == nil:
			problems = append(problems, Problem{
				Pointer: memberPointer,
				Message: fmt.Sprintf("unknown field %q", name),
				Remedy:  "remove it or use one of: " + strings.Join(fieldNames(t), ", "),
			})
		default:
			problems = append(problems, unknownFields(&m.Value, fields[name], memberPointer)...)
		}
	}
	return problems
}

func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	if t.Kind() != reflect.Struct {
		return fields
	}
	for i := range t.NumField() {
		f := t.Field(i)
		if name := fieldName(f); name != "" {
			fields[name] = f.Type
		}
	}
	return fields
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if name := fieldName(t.Field(i)); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func fieldName(f reflect.StructField) string {
	if !f.IsExported() {
		return ""
	}
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	if name == "" {
		return f.Name
	}
	return name
}

func escapePointer(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
