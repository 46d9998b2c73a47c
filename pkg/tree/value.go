package tree

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/spell"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Type is the type of a setting's value.
type Type string

// Types of values.
const (
	TypeDuration Type = "duration"
	TypeSize     Type = "size"
	TypeInt      Type = "int"
	TypeRatio    Type = "ratio"
	TypeBool     Type = "bool"
	TypeClass    Type = "class"
	TypeText     Type = "text"
	TypeList     Type = "list"
)

// Value is the typed value of a setting.
type Value struct {
	typ Type
	// number holds all types but TypeText and TypeList: durations in nanoseconds, sizes in bytes, true as 1.
	number float64
	text   string
	list   []string
}

// Type returns the type of the value.
func (v Value) Type() Type {
	return v.typ
}

// Equal reports whether the values have the same type and content.
func (v Value) Equal(other Value) bool {
	return v.typ == other.typ && v.number == other.number && v.text == other.text && slices.Equal(v.list, other.list)
}

// String formats the value as TOML.
func (v Value) String() string {
	switch v.typ {
	case TypeDuration:
		return strconv.Quote(formatDuration(time.Duration(v.number)))
	case TypeSize:
		return strconv.Quote(formatSize(int64(v.number)))
	case TypeInt, TypeRatio:
		return strconv.FormatFloat(v.number, 'f', -1, 64)
	case TypeBool:
		return strconv.FormatBool(v.number != 0)
	case TypeClass:
		return strconv.Quote(call.Class(v.number).String())
	case TypeList:
		quoted := make([]string, len(v.list))
		for i, item := range v.list {
			quoted[i] = strconv.Quote(item)
		}

		return "[" + strings.Join(quoted, ", ") + "]"
	case TypeText:
		return strconv.Quote(v.text)
	default:
		return v.text
	}
}

// MarshalText encodes the value as TOML.
func (v Value) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText keeps the text written by MarshalText in an untyped value, which is only for display.
func (v *Value) UnmarshalText(text []byte) error {
	*v = Value{text: string(text)}

	return nil
}

// formatDuration formats a duration without the trailing zero units that time.Duration prints, such as "1h" for "1h0m0s".
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}

	return text
}

var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}

func formatSize(size int64) string {
	for _, unit := range sizeUnits {
		if size >= unit.bytes && size%unit.bytes == 0 {
			return strconv.FormatInt(size/unit.bytes, 10) + unit.name
		}
	}

	return "0B"
}

func parseSize(text string) (int64, bool) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.name)
		if !found {
			continue
		}
		count, err := strconv.ParseInt(digits, 10, 32)

		return count * unit.bytes, err == nil && count >= 0
	}

	return 0, false
}

const (
	allowedDuration = `a duration in quotes such as "250ms", "2s" or "10m"`
	allowedSize     = `a size in quotes such as "64KiB" or "6MiB"`
)

// parse converts a TOML value to the key's type and checks its range; the caller adds path and line to the problem.
func (k Key) parse(node *unstable.Node) (Value, *Problem) {
	value := Value{typ: k.Type}
	var problem *Problem
	switch k.Type {
	case TypeDuration, TypeSize, TypeClass, TypeText:
		problem = value.parseString(node)
	case TypeInt, TypeRatio:
		problem = value.parseNumber(node)
	case TypeBool:
		problem = value.parseBool(node)
	case TypeList:
		problem = value.parseList(node)
	}
	if problem == nil {
		problem = k.checkRange(value)
	}

	return value, problem
}

func (v *Value) parseString(node *unstable.Node) *Problem {
	text := string(node.Data)
	problem := &Problem{Code: CodeBadUnit, Got: strconv.Quote(text)}
	switch v.typ {
	case TypeDuration:
		problem.Allowed = allowedDuration
		duration, err := time.ParseDuration(text)
		if err != nil || node.Kind != unstable.String {
			return problem
		}
		v.number = float64(duration)
	case TypeSize:
		problem.Allowed = allowedSize
		size, ok := parseSize(text)
		if !ok || node.Kind != unstable.String {
			return problem
		}
		v.number = float64(size)
	case TypeClass:
		problem.Allowed = "bulk, normal, high, vital"
		problem.Nearest = spell.Nearest(text, []string{"bulk", "normal", "high", "vital"})
		class, err := call.ParseClass(text)
		if err != nil {
			return problem
		}
		v.number = float64(class)
	default:
		if node.Kind != unstable.String {
			return wrongType(node, "text in quotes")
		}
		v.text = text
	}

	return nil
}

func (v *Value) parseNumber(node *unstable.Node) *Problem {
	allowed := "a whole number"
	fits := node.Kind == unstable.Integer
	if v.typ == TypeRatio {
		allowed = "a number such as 0.25"
		fits = fits || node.Kind == unstable.Float
	}
	number, err := strconv.ParseFloat(strings.ReplaceAll(string(node.Data), "_", ""), 64)
	if err != nil || !fits || number != number {
		return wrongType(node, allowed)
	}
	v.number = number

	return nil
}

func (v *Value) parseBool(node *unstable.Node) *Problem {
	if node.Kind != unstable.Bool {
		return wrongType(node, "true or false")
	}
	if string(node.Data) == "true" {
		v.number = 1
	}

	return nil
}

func (v *Value) parseList(node *unstable.Node) *Problem {
	if node.Kind != unstable.Array {
		return wrongType(node, `a list such as ["a", "b"]`)
	}
	v.list = []string{}
	items := node.Children()
	for items.Next() {
		if items.Node().Kind != unstable.String {
			return wrongType(items.Node(), "texts in quotes")
		}
		v.list = append(v.list, string(items.Node().Data))
	}

	return nil
}

func wrongType(node *unstable.Node, allowed string) *Problem {
	return &Problem{Code: CodeWrongType, Got: fmt.Sprintf("%s %s", strings.ToLower(node.Kind.String()), node.Data), Allowed: allowed}
}
