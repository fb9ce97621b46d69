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

// maxFileBytes keeps the stored site well below the platform's limit of 1 MB per object.
const maxFileBytes = 900 << 10

// Problem is one problem of a file.
type Problem struct {
	File    string
	Line    int
	Field   string
	Message string
}

// String returns the problem as "file:line: field: message".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Message)
}

// FileErrors are all problems of a file, in the order in which they were found.
type FileErrors []Problem

// Error implements the error interface. It returns one problem per line.
func (e FileErrors) Error() string {
	lines := make([]string, len(e))
	for i, p := range e {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Checker collects the problems of one file and knows the line of each field.
type Checker struct {
	file string
	// lines maps the path of a field, such as services[0].slots, to its line.
	lines    map[string]int
	problems FileErrors
}

// Decode decodes YAML into out. It fails if the file has unknown or duplicate fields,
// wrong types or durations without a unit, and reports each with its line. If it
// succeeds, the caller checks further rules through the Checker.
func Decode(file string, data []byte, out any) (*Checker, error) {
	c := &Checker{file: file, lines: map[string]int{}}
	if len(data) > maxFileBytes {
		c.Add("", "the file is %d bytes, more than %d", len(data), maxFileBytes)
		return c, c.Err()
	}
	doc, err := parser.ParseBytes(data, 0)
	if err != nil {
		line := 1
		var syntax *yaml.SyntaxError
		if errors.As(err, &syntax) && syntax.GetToken() != nil {
			line = syntax.GetToken().Position.Line
			err = errors.New(syntax.GetMessage())
		}
		c.problems = append(c.problems, Problem{File: file, Line: line, Field: "yaml", Message: err.Error()})
		return c, c.Err()
	}
	if len(doc.Docs) == 0 || doc.Docs[0].Body == nil {
		c.Add("", "the file is empty")
		return c, c.Err()
	}
	c.checkNode("", doc.Docs[0].Body, reflect.TypeOf(out).Elem())
	if err := c.Err(); err != nil {
		return c, err
	}
	if err := yaml.Unmarshal(data, out); err != nil {
		c.Add("", "%v", err)
	}
	return c, c.Err()
}

// Add records a problem of a field, such as services[0].slots. If the file lacks the
// field, the line is that of the closest enclosing field.
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
	c.problems = append(c.problems, Problem{File: c.file, Line: line, Field: field, Message: fmt.Sprintf(format, args...)})
}

// Err returns the problems so far as FileErrors, or nil.
func (c *Checker) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return c.problems
}

// Address checks that a field is an IP address with a port.
func (c *Checker) Address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Add(field, "%q is not an IP address with a port", value)
	}
}

func (c *Checker) checkNode(path string, node ast.Node, t reflect.Type) {
	c.lines[path] = node.GetToken().Position.Line
	switch {
	case t.Kind() == reflect.Slice:
		c.checkSequence(path, node, t)
	case t.Kind() == reflect.Struct:
		c.checkMapping(path, node, t)
	default:
		c.checkScalar(path, node, t)
	}
}

func (c *Checker) checkSequence(path string, node ast.Node, t reflect.Type) {
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		if node.Type() != ast.NullType {
			c.Add(path, "must be a list")
		}
		return
	}
	for i, item := range seq.Values {
		c.checkNode(fmt.Sprintf("%s[%d]", path, i), item, t.Elem())
	}
}

func (c *Checker) checkMapping(path string, node ast.Node, t reflect.Type) {
	var pairs []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		pairs = n.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{n}
	default:
		c.Add(path, "must be a mapping of fields")
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
			c.Add(field, "duplicate field")
		default:
			line := c.lines[field]
			c.checkNode(field, p.Value, ft)
			c.lines[field] = line
		}
		seen[name] = true
	}
}

func (c *Checker) checkScalar(path string, node ast.Node, t reflect.Type) {
	text := strings.Trim(node.String(), `"'`)
	var err error
	want := ""
	switch {
	case t == reflect.TypeOf(time.Duration(0)):
		want = "a duration with a unit, such as 250ms"
		var d time.Duration
		if d, err = time.ParseDuration(text); err == nil && d < 0 {
			err = errors.New("negative")
		}
	case t.Kind() == reflect.Int:
		want = "an integer"
		_, err = strconv.Atoi(text)
	case t.Kind() == reflect.Float64:
		want = "a number"
		_, err = strconv.ParseFloat(text, 64)
	case t.Kind() == reflect.Bool:
		want = "true or false"
		_, err = strconv.ParseBool(text)
	case t.Kind() == reflect.String:
		want = "a string"
		if _, isScalar := node.(ast.ScalarNode); !isScalar {
			err = errors.New("not a scalar")
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
