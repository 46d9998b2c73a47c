package tree

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pistachiotack/pistachiotack/pkg/spell"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Limits on a whole tree.
const (
	maxTextBytes       = 64 * 1024
	maxKindsPerService = 64
)

// Statement is a setting that a tree states.
type Statement struct {
	Path  Path   `json:"path"`
	Key   string `json:"key"`
	Value Value  `json:"value"`
	// Line is the line number in the text, counted from 1.
	Line int `json:"line"`

	// span is the position of the statement in the text; header is the index of its table header, -1 if it precedes all headers.
	span   span
	header int
}

// span is a range of byte offsets in the text, without its end.
type span struct {
	start, end int
}

// header is a table header in the text; its span covers the key between the brackets.
type header struct {
	path Path
	span span
}

// Dotted returns the dotted key of the statement.
func (s Statement) Dotted() string {
	return s.Path.Dotted(s.Key)
}

// Tree is a complete, valid and immutable settings tree.
type Tree struct {
	text       string
	places     []string
	services   []string
	statements []Statement
	headers    []header
	// byDotted and byPath hold indexes into statements.
	byDotted map[string]int
	byPath   map[Path][]int
}

// Text returns the TOML text of the tree.
func (t *Tree) Text() string {
	return t.text
}

// Places returns the places (data centres) that the tree declares.
func (t *Tree) Places() []string {
	return slices.Clone(t.places)
}

// Services returns the services that the tree declares.
func (t *Tree) Services() []string {
	return slices.Clone(t.services)
}

// Statements returns all statements in the order of their lines.
func (t *Tree) Statements() []Statement {
	return slices.Clone(t.statements)
}

// Statement returns the statement of a dotted key, false if the tree does not state it.
func (t *Tree) Statement(dotted string) (Statement, bool) {
	i, found := t.byDotted[dotted]
	if !found {
		return Statement{}, false
	}

	return t.statements[i], true
}

// Kinds returns the kinds of a service in the order of their lines.
func (t *Tree) Kinds(service string) []string {
	var kinds []string
	for _, s := range t.statements {
		if s.Path.Place == "" && s.Path.Service == service && s.Key == keyPath {
			kinds = append(kinds, s.Path.Kind)
		}
	}

	return kinds
}

// Parse parses and checks a tree; unknown keys and names are errors. The error is Problems with all faults found.
func Parse(text string) (*Tree, error) {
	if len(text) > maxTextBytes {
		return nil, Problems{{Code: CodeTooLarge, Got: fmt.Sprintf("%d bytes", len(text)), Allowed: fmt.Sprintf("up to %d bytes", maxTextBytes)}}
	}
	if problem := checkSyntax(text); problem != nil {
		return nil, Problems{*problem}
	}
	r := &reader{tree: &Tree{text: text, byDotted: map[string]int{}, byPath: map[Path][]int{}}}
	r.read([]byte(text))
	r.readDeclarations()
	r.checkLevels()
	r.checkKinds()
	r.checkPolicies()
	if len(r.problems) > 0 {
		slices.SortStableFunc(r.problems, func(a, b Problem) int { return a.Line - b.Line })

		return nil, r.problems
	}

	return r.tree, nil
}

// checkSyntax reports text that is not valid TOML, including duplicate keys and tables, which the
// low-level parser of read accepts.
func checkSyntax(text string) *Problem {
	var ignored map[string]any
	err := toml.Unmarshal([]byte(text), &ignored)
	if err == nil {
		return nil
	}
	problem := &Problem{Code: CodeSyntax, Got: err.Error()}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		problem.Line, _ = decode.Position()
	}

	return problem
}

// reader collects the statements and the problems of a text.
type reader struct {
	tree     *Tree
	problems Problems
	// tables are the levels named by headers and statements, in order and with duplicates.
	tables []table
	lines  lineCounter
}

// lineCounter maps byte offsets to line numbers; the offsets must not decrease, so that the text is scanned only once.
type lineCounter struct {
	offset, newlines int
}

// lineAt returns the line number of the offset, counted from 1.
func (c *lineCounter) lineAt(text string, offset int) int {
	c.newlines += strings.Count(text[c.offset:offset], "\n")
	c.offset = offset

	return c.newlines + 1
}

// table is a level named in the text and its line.
type table struct {
	path Path
	line int
}

func (r *reader) addProblem(code Code, path string, line int, got, nearest, allowed string) {
	r.problems = append(r.problems, Problem{Code: code, Path: path, Line: line, Got: got, Nearest: nearest, Allowed: allowed})
}

func (r *reader) read(text []byte) {
	var parser unstable.Parser
	parser.Reset(text)
	var prefix []string
	for parser.NextExpression() {
		expression := parser.Expression()
		parts, line, at := r.keyParts(expression)
		switch expression.Kind {
		case unstable.Table:
			prefix = parts
			r.readTable(parts, line, at)
		case unstable.KeyValue:
			r.readStatement(append(slices.Clone(prefix), parts...), line, expression)
		default:
			prefix = parts
			r.addProblem(CodeSyntax, strings.Join(parts, "."), line, "a list of tables", "", "[table]")
		}
	}
}

// keyParts returns the parts of the dotted key of an expression, its line and its position.
func (r *reader) keyParts(expression *unstable.Node) (parts []string, line int, at span) {
	names := expression.Key()
	for names.Next() {
		raw := names.Node().Raw
		if line == 0 {
			line = r.lines.lineAt(r.tree.text, int(raw.Offset))
			at.start = int(raw.Offset)
		}
		at.end = int(raw.Offset + raw.Length)
		parts = append(parts, string(names.Node().Data))
	}

	return parts, line, at
}

func (r *reader) readTable(parts []string, line int, at span) {
	path, rest := splitPath(parts)
	r.tree.headers = append(r.tree.headers, header{path: path, span: at})
	if len(rest) > 0 {
		r.addProblem(CodeUnknownKey, strings.Join(parts, "."), line, fmt.Sprintf("%q", rest[0]),
			spell.Nearest(rest[0], []string{levelPlace, levelService, levelKind}), "place.NAME, service.NAME, service.NAME.kind.NAME, place.NAME.service.NAME")

		return
	}
	r.tables = append(r.tables, table{path: path, line: line})
}

func (r *reader) readStatement(parts []string, line int, expression *unstable.Node) {
	dotted := strings.Join(parts, ".")
	path, rest := splitPath(parts)
	if len(rest) != 1 {
		r.addProblem(CodeUnknownKey, dotted, line, "", spell.Nearest(parts[0], []string{levelPlace, levelService}), "place.NAME, service.NAME, service.NAME.kind.NAME, place.NAME.service.NAME")

		return
	}
	key, known := FindKey(rest[0])
	if !known {
		r.addProblem(CodeUnknownKey, dotted, line, fmt.Sprintf("%q", rest[0]), spell.Nearest(rest[0], keyNames), "")

		return
	}
	r.tables = append(r.tables, table{path: path, line: line})
	if !key.allowedAt(path) {
		r.addProblem(CodeWrongLevel, dotted, line, fmt.Sprintf("%q", key.Name), "", key.Levels.String())

		return
	}
	value, problem := key.parse(expression.Value())
	if problem != nil {
		problem.Path, problem.Line = dotted, line
		r.problems = append(r.problems, *problem)

		return
	}
	r.tree.byDotted[path.Dotted(key.Name)] = len(r.tree.statements)
	r.tree.byPath[path] = append(r.tree.byPath[path], len(r.tree.statements))
	r.tree.statements = append(r.tree.statements, Statement{
		Path: path, Key: key.Name, Value: value, Line: line,
		span:   span{int(expression.Raw.Offset), int(expression.Raw.Offset + expression.Raw.Length)},
		header: len(r.tree.headers) - 1,
	})
}

// allowedAt reports whether the key can be stated at the path. The method and path of a kind cannot differ between places.
func (k Key) allowedAt(path Path) bool {
	if (k.Name == keyMethod || k.Name == keyPath) && path.Place != "" {
		return false
	}

	return k.Levels&path.level() != 0
}

// splitPath splits a dotted key into its levels and the remaining parts.
func splitPath(parts []string) (Path, []string) {
	var path Path
	for len(parts) >= 2 {
		switch {
		case parts[0] == levelPlace && path == Path{}:
			path.Place = parts[1]
		case parts[0] == levelService && path.Service == "":
			path.Service = parts[1]
		case parts[0] == levelKind && path.Service != "" && path.Kind == "":
			path.Kind = parts[1]
		default:
			return path, parts
		}
		parts = parts[2:]
	}

	return path, parts
}
