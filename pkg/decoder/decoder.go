// Package decoder strictly decodes JSON with comments: it reports unknown fields,
// repeated fields and wrong types with their line and what is expected.
package decoder

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is an error at a position in a document.
type Problem struct {
	File string
	Line int // counted from 1
	// Field is the path of the value, such as teams/acme/rate.
	Field string
	// Text states what is wrong and what is expected.
	Text string
}

// Error implements error.
func (p *Problem) Error() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Text)
}

// Document is a parsed file that knows the position of each value.
type Document struct {
	file   string
	source []byte
	root   hujson.Value
}

// Decode parses source into target, a pointer to a struct. It rejects fields
// that target does not have and fields that occur twice. File appears in errors
// only.
func Decode(file string, source []byte, target any) (*Document, error) {
	root, err := hujson.Parse(source)
	if err != nil {
		return nil, syntaxProblem(file, err)
	}
	d := &Document{file: file, source: append([]byte(nil), source...), root: root}
	if err := d.check("", &d.root, reflect.TypeOf(target).Elem()); err != nil {
		return nil, err
	}
	standard := root.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), target); err != nil {
		return nil, d.typeProblem(err)
	}
	return d, nil
}

// Problem returns an error at the position of the value at path.
func (d *Document) Problem(path, format string, args ...any) error {
	return &Problem{File: d.file, Line: d.lineOf(path), Field: path, Text: fmt.Sprintf(format, args...)}
}

// lineOf returns the line of the value at path, or of its nearest ancestor that
// the document contains.
func (d *Document) lineOf(path string) int {
	for ; path != ""; path = path[:max(strings.LastIndex(path, "/"), 0)] {
		if v := d.root.Find("/" + path); v != nil {
			return d.lineAt(v.StartOffset)
		}
	}
	return d.lineAt(d.root.StartOffset)
}

func (d *Document) lineAt(offset int) int {
	return 1 + strings.Count(string(d.source[:min(offset, len(d.source))]), "\n")
}

// check rejects unknown and repeated fields by walking the value and its Go type
// in parallel. It leaves other mismatches to json.Unmarshal.
func (d *Document) check(path string, v *hujson.Value, t reflect.Type) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch value := v.Value.(type) {
	case *hujson.Object:
		return d.checkObject(path, value, t)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			return nil
		}
		for i := range value.Elements {
			if err := d.check(join(path, strconv.Itoa(i)), &value.Elements[i], t.Elem()); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Document) checkObject(path string, o *hujson.Object, t reflect.Type) error {
	if t.Kind() != reflect.Struct && t.Kind() != reflect.Map {
		return nil
	}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		line := d.lineAt(m.Name.StartOffset)
		if seen[name] {
			return &Problem{File: d.file, Line: line, Field: at, Text: "stands twice; leave one of the two out"}
		}
		seen[name] = true
		next, ok := memberType(t, name)
		if !ok {
			return &Problem{File: d.file, Line: line, Field: at, Text: "unknown field; known here are " + strings.Join(fieldNames(t), ", ")}
		}
		if err := d.check(at, &m.Value, next); err != nil {
			return err
		}
	}
	return nil
}

// memberType returns the type of a struct's field or a map's elements.
func memberType(t reflect.Type, name string) (reflect.Type, bool) {
	if t.Kind() == reflect.Map {
		return t.Elem(), true
	}
	for i := range t.NumField() {
		if t.Field(i).IsExported() && fieldName(t.Field(i)) == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

// fieldName returns the JSON name in a field's tag.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if t.Field(i).IsExported() {
			names = append(names, fieldName(t.Field(i)))
		}
	}
	sort.Strings(names)
	return names
}

// typeProblem converts an error of json.Unmarshal. Only type errors carry a path
// from which the line can be found; others are reported at line 1.
func (d *Document) typeProblem(err error) error {
	if e, ok := err.(*json.UnmarshalTypeError); ok {
		path := strings.ReplaceAll(e.Field, ".", "/")
		return d.Problem(path, "is a %s; a %s would be right", e.Value, typeName(e.Type))
	}
	return &Problem{File: d.file, Line: 1, Text: err.Error()}
}

// typeName returns the JSON name of a Go type.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "object"
	case reflect.Slice:
		return "list"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint32, reflect.Float64:
		return "number"
	}
	return t.Kind().String()
}

// syntaxProblem converts a syntax error of hujson. It takes the line from the
// error's text, which contains, for example, "line 3, column 4".
func syntaxProblem(file string, err error) error {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	line := 1
	if _, rest, ok := strings.Cut(text, "line "); ok {
		number, _, _ := strings.Cut(rest, ",")
		if n, err := strconv.Atoi(number); err == nil {
			line = n
		}
	}
	return &Problem{File: file, Line: line, Text: text}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}
