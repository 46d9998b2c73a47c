package tree

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pistachiotack/pistachiotack/pkg/spell"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Apply returns a tree with the changes made in its text; comments are preserved. The error is Problems.
func (t *Tree) Apply(changes []Change) (*Tree, error) {
	e := editor{tree: t}
	for _, change := range changes {
		e.apply(change)
	}
	e.removeEmptyHeaders()

	return Parse(e.text())
}

// Set returns a tree in which one setting has a new value, or is removed if the literal is empty. The error is Problems.
func (t *Tree) Set(dotted, literal string) (*Tree, error) {
	path, rest := splitPath(strings.Split(dotted, "."))
	if len(rest) != 1 {
		return nil, Problems{{Code: CodeUnknownKey, Path: dotted, Allowed: "[place.NAME.][service.NAME.][kind.NAME.]KEY"}}
	}
	key, known := FindKey(rest[0])
	if !known {
		return nil, Problems{{Code: CodeUnknownKey, Path: dotted, Got: fmt.Sprintf("%q", rest[0]), Nearest: spell.Nearest(rest[0], keyNames)}}
	}
	change := Change{Path: path, Key: key.Name}
	if before, found := t.Statement(dotted); found {
		change.Before = &before.Value
	}
	if literal == "" {
		if change.Before == nil {
			return nil, Problems{{Code: CodeContradiction, Path: dotted, Got: "not stated, nothing to remove"}}
		}

		return t.Apply([]Change{change})
	}
	value, problem := key.parseLiteral(literal)
	if problem != nil {
		problem.Path = dotted

		return nil, Problems{*problem}
	}
	change.After = &value

	return t.Apply([]Change{change})
}

// parseLiteral parses a TOML value; strings may lack their quotes, since a shell removes them.
func (k Key) parseLiteral(literal string) (Value, *Problem) {
	quoted := k.Type != TypeInt && k.Type != TypeRatio && k.Type != TypeBool && k.Type != TypeList
	if quoted && !strings.HasPrefix(literal, `"`) {
		literal = fmt.Sprintf("%q", literal)
	}
	var parser unstable.Parser
	parser.Reset([]byte("value = " + literal))
	if !parser.NextExpression() {
		return Value{}, &Problem{Code: CodeWrongType, Got: literal, Allowed: string(k.Type)}
	}

	return k.parse(parser.Expression().Value())
}

// splice replaces a span of the text with another text.
type splice struct {
	span span
	text string
}

// editor collects splices to the text of a tree.
type editor struct {
	tree    *Tree
	splices []splice
	// deleted holds the dotted keys of removed statements, added the paths of new ones.
	deleted   map[string]bool
	added     []Path
	newTables []newTable
}

// newTable is a table to be appended to the text.
type newTable struct {
	path  Path
	lines string
}

func (e *editor) apply(change Change) {
	old, found := e.tree.Statement(change.Dotted())
	switch {
	case found && change.After == nil:
		e.remove(old)
	case found:
		written := e.keyText(old)
		e.splices = append(e.splices, splice{old.span, written + "= " + change.After.String()})
	case change.After != nil:
		e.add(change)
	}
}

// keyText returns the key of a statement as written, with the spaces before the equals sign.
func (e *editor) keyText(s Statement) string {
	key, _, _ := strings.Cut(e.tree.text[s.span.start:s.span.end], "=")

	return key
}

// remove deletes the whole lines of the statement.
func (e *editor) remove(s Statement) {
	if e.deleted == nil {
		e.deleted = map[string]bool{}
	}
	e.deleted[s.Dotted()] = true
	e.splices = append(e.splices, splice{span{e.lineStart(s.span.start), e.lineEnd(s.span.end)}, ""})
}

// add inserts a statement after one of the same path, else below the header of the path, else in a new table at the end;
// a statement of the root goes to the start of the text.
func (e *editor) add(change Change) {
	e.added = append(e.added, change.Path)
	line := change.Key + " = " + change.After.String() + "\n"
	if sibling, found := e.sibling(change.Path); found {
		written := strings.TrimSpace(e.keyText(sibling))
		prefix := written[:len(written)-len(sibling.Key)]
		e.insert(e.lineEnd(sibling.span.end), prefix+line)

		return
	}
	if header, found := e.header(change.Path); found {
		e.insert(e.lineEnd(header.span.end), line)

		return
	}
	if change.Path == (Path{}) {
		e.insert(0, line)

		return
	}
	e.addToNewTable(change.Path, line)
}

// addToNewTable adds the line to the new table of the path, which it creates if needed.
func (e *editor) addToNewTable(path Path, line string) {
	i := slices.IndexFunc(e.newTables, func(t newTable) bool { return t.path == path })
	if i < 0 {
		i = len(e.newTables)
		e.newTables = append(e.newTables, newTable{path: path})
	}
	e.newTables[i].lines += line
}

// insert adds whole lines at the offset; at the end of a text without a final newline, it adds that first.
func (e *editor) insert(at int, text string) {
	if at == len(e.tree.text) && at > 0 && e.tree.text[at-1] != '\n' {
		text = "\n" + text
	}
	e.splices = append(e.splices, splice{span{at, at}, text})
}

// sibling returns the last statement of the path whose key is written as a bare key, without quotes.
func (e *editor) sibling(path Path) (Statement, bool) {
	for _, s := range slices.Backward(e.tree.statements) {
		if s.Path == path && strings.HasSuffix(strings.TrimSpace(e.keyText(s)), s.Key) {
			return s, true
		}
	}

	return Statement{}, false
}

func (e *editor) header(path Path) (header, bool) {
	for _, h := range e.tree.headers {
		if h.path == path {
			return h, true
		}
	}

	return header{}, false
}

// removeEmptyHeaders removes the headers of tables whose last statement was removed.
func (e *editor) removeEmptyHeaders() {
	remaining, hasDeleted := map[int]int{}, map[int]bool{}
	for _, s := range e.tree.statements {
		if e.deleted[s.Dotted()] {
			hasDeleted[s.header] = true
		} else {
			remaining[s.header]++
		}
	}
	for i, h := range e.tree.headers {
		if hasDeleted[i] && remaining[i] == 0 && !slices.Contains(e.added, h.path) {
			e.splices = append(e.splices, splice{span{e.lineStart(h.span.start), e.lineEnd(h.span.end)}, ""})
		}
	}
}

func (e *editor) lineStart(at int) int {
	return strings.LastIndexByte(e.tree.text[:at], '\n') + 1
}

// lineEnd returns the offset just after the newline that ends the line, or the length of the text.
func (e *editor) lineEnd(at int) int {
	if i := strings.IndexByte(e.tree.text[at:], '\n'); i >= 0 {
		return at + i + 1
	}

	return len(e.tree.text)
}

// text returns the text with all splices applied and the new tables appended.
func (e *editor) text() string {
	slices.SortStableFunc(e.splices, func(a, b splice) int { return a.span.start - b.span.start })
	var b strings.Builder
	copied := 0
	for _, s := range e.splices {
		b.WriteString(e.tree.text[copied:s.span.start])
		b.WriteString(s.text)
		copied = max(copied, s.span.end)
	}
	b.WriteString(e.tree.text[copied:])
	if len(e.newTables) > 0 && b.Len() > 0 && !strings.HasSuffix(b.String(), "\n") {
		b.WriteByte('\n')
	}
	for _, table := range e.newTables {
		fmt.Fprintf(&b, "\n[%s]\n%s", table.path, table.lines)
	}

	return b.String()
}
