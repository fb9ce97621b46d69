package check

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxFile keeps the stored site well below the platform's limit of one megabyte.
const maxFile = 900 << 10

// Mistake is one thing wrong in a file.
type Mistake struct {
	File  string
	Line  int
	Field string
	Text  string
}

// String names file, line and field.
func (m Mistake) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", m.File, m.Line, m.Field, m.Text)
}

// FileErrors are all mistakes of a file, in the order of its lines.
type FileErrors []Mistake

// Error implements the error interface, one mistake a line.
func (m FileErrors) Error() string {
	lines := make([]string, len(m))
	for i, v := range m {
		lines[i] = v.String()
	}
	return strings.Join(lines, "\n")
}

// Checker collects the mistakes of one file and knows the line of each field.
type Checker struct {
	file     string
	lines    map[string]int
	mistakes FileErrors
}

// Decode reads YAML into out and checks unknown fields, doubled fields, types
// and units, each with its line. It fails when there is any such mistake; the
// Checker then serves the rules that go beyond types.
func Decode(file string, data []byte, out any) (*Checker, error) {
	c := &Checker{file: file, lines: map[string]int{}}
	if len(data) > maxFile {
		c.Add("", "the file is %d bytes, more than %d", len(data), maxFile)
		return c, c.Err()
	}
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		line := 1
		var syntax *yaml.SyntaxError
		if errors.As(err, &syntax) && syntax.GetToken() != nil {
			line = syntax.GetToken().Position.Line
			err = errors.New(syntax.GetMessage())
		}
		c.mistakes = append(c.mistakes, Mistake{File: file, Line: line, Field: "yaml", Text: err.Error()})
		return c, c.Err()
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		c.Add("", "the file is empty")
		return c, c.Err()
	}
	c.walk("", tree.Docs[0].Body, reflect.TypeOf(out).Elem())
	if err := c.Err(); err != nil {
		return c, err
	}
	if err := yaml.Unmarshal(data, out); err != nil {
		c.Add("", "%v", err)
	}
	return c, c.Err()
}

// Add notes a mistake at a field, as in services[0].slots.
func (c *Checker) Add(field, format string, args ...any) {
	line := 1
	for f := field; ; {
		if l, ok := c.lines[f]; ok {
			line = l
			break
		}
		cut := strings.LastIndexAny(f, ".[")
		if cut < 0 {
			break
		}
		f = f[:cut]
	}
	if field == "" {
		field = "file"
	}
	c.mistakes = append(c.mistakes, Mistake{File: c.file, Line: line, Field: field, Text: fmt.Sprintf(format, args...)})
}

// Err returns the mistakes so far, or nil.
func (c *Checker) Err() error {
	if len(c.mistakes) == 0 {
		return nil
	}
	return c.mistakes
}

// Address checks that a field is an IP number with a port.
func (c *Checker) Address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Add(field, "%q is no IP number with a port", value)
	}
}

func (c *Checker) walk(path string, node ast.Node, t reflect.Type) {
	c.lines[path] = node.GetToken().Position.Line
	switch {
	case t.Kind() == reflect.Slice:
		c.walkList(path, node, t)
	case t.Kind() == reflect.Struct:
		c.walkStruct(path, node, t)
	default:
		c.scalar(path, node, t)
	}
}

func (c *Checker) walkList(path string, node ast.Node, t reflect.Type) {
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		if node.Type() != ast.NullType {
			c.Add(path, "want a list")
		}
		return
	}
	for i, v := range seq.Values {
		c.walk(fmt.Sprintf("%s[%d]", path, i), v, t.Elem())
	}
}

func (c *Checker) walkStruct(path string, node ast.Node, t reflect.Type) {
	var pairs []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		pairs = n.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{n}
	default:
		c.Add(path, "want fields")
		return
	}
	seen := map[string]bool{}
	for _, p := range pairs {
		name := p.Key.String()
		field := name
		if path != "" {
			field = path + "." + name
		}
		c.lines[field] = p.Key.GetToken().Position.Line
		ft, ok := fieldType(t, name)
		switch {
		case !ok:
			c.Add(field, "unknown field")
		case seen[name]:
			c.Add(field, "named twice")
		default:
			line := c.lines[field]
			c.walk(field, p.Value, ft)
			c.lines[field] = line
		}
		seen[name] = true
	}
}

func (c *Checker) scalar(path string, node ast.Node, t reflect.Type) {
	text := strings.Trim(node.String(), `"'`)
	var err error
	want := ""
	switch {
	case t == reflect.TypeOf(time.Duration(0)):
		want = "a time with its unit, as 250ms"
		var d time.Duration
		if d, err = time.ParseDuration(text); err == nil && d < 0 {
			err = errors.New("negative")
		}
	case t.Kind() == reflect.Int:
		want = "a whole number"
		_, err = strconv.Atoi(text)
	case t.Kind() == reflect.Float64:
		want = "a number"
		_, err = strconv.ParseFloat(text, 64)
	case t.Kind() == reflect.Bool:
		want = "true or false"
		_, err = strconv.ParseBool(text)
	case t.Kind() == reflect.String:
		want = "a text"
		if _, scalar := node.(ast.ScalarNode); !scalar {
			err = errors.New("no scalar")
		}
	}
	if err != nil {
		c.Add(path, "%s is not %s", text, want)
	}
}

func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	for f := range t.Fields() {
		tag, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if tag == name {
			return f.Type, true
		}
	}
	return nil, false
}
