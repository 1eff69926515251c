package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"sort"
	"strings"
)

// tag matches a placeholder of a template, as the platform's page on the deploy file
// describes it.
var tag = regexp.MustCompile(`\{\{([#^/]?)([^{}]*)\}\}`)

// scope is one level of names while a template is rendered.
type scope struct {
	value any
	key   string
	last  bool
	outer *scope
}

// render fills in a template.
func render(text string, s *scope) string {
	var out strings.Builder
	for {
		m := tag.FindStringSubmatchIndex(text)
		if m == nil {
			out.WriteString(text)
			return out.String()
		}
		out.WriteString(text[:m[0]])
		sign, name := text[m[2]:m[3]], text[m[4]:m[5]]
		text = text[m[1]:]
		switch sign {
		case "#", "^":
			end := strings.Index(text, "{{/"+name+"}}")
			if end < 0 {
				panic("template: no end of section " + name)
			}
			body := text[:end]
			text = text[end+len("{{/"+name+"}}"):]
			out.WriteString(renderSection(body, sign, s.find(name), s))
		default:
			out.WriteString(s.text(name))
		}
	}
}

func renderSection(body, sign string, value any, s *scope) string {
	present := value != nil && value != false
	if sign == "^" {
		if present {
			return ""
		}
		return render(body, s)
	}
	if !present {
		return ""
	}
	var out strings.Builder
	switch v := value.(type) {
	case []string:
		for i, e := range v {
			out.WriteString(render(body, &scope{value: e, key: fmt.Sprint(i), last: i == len(v)-1, outer: s}))
		}
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for i, k := range keys {
			out.WriteString(render(body, &scope{value: v[k], key: k, last: i == len(keys)-1, outer: s}))
		}
	default:
		return render(body, s)
	}
	return out.String()
}

// find returns the value of a name such as a, a.b or a.0; nil if there is none.
func (s *scope) find(name string) any {
	for ; s != nil; s = s.outer {
		var value any = s.value
		for _, part := range strings.Split(name, ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[part]
			case []string:
				value = nil
				for i := range v {
					if fmt.Sprint(i) == part {
						value = v[i]
					}
				}
			default:
				value = nil
			}
		}
		if value != nil {
			return value
		}
	}
	return nil
}

func (s *scope) text(name string) string {
	switch name {
	case ".":
		return fmt.Sprint(s.value)
	case "@":
		return s.key
	case ",":
		if s.last {
			return ""
		}
		return ","
	}
	value := s.find(strings.TrimSuffix(name, "|json"))
	if list, ok := value.([]string); ok && !strings.HasSuffix(name, "|json") {
		return strings.Join(list, ",")
	}
	if value == nil {
		return ""
	}
	if text, ok := value.(string); ok && !strings.HasSuffix(name, "|json") {
		return text
	}
	raw, err := json.Marshal(value)
	check(err)
	return string(raw)
}
