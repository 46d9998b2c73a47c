package tree

import (
	"fmt"
	"strings"
)

// Code classifies problems.
type Code string

// Codes of problems.
const (
	CodeSyntax         Code = "syntax"
	CodeUnknownKey     Code = "unknownKey"
	CodeUnknownPlace   Code = "unknownPlace"
	CodeUnknownService Code = "unknownService"
	CodeUnknownKind    Code = "unknownKind"
	CodeWrongLevel     Code = "wrongLevel"
	CodeWrongType      Code = "wrongType"
	CodeBadUnit        Code = "badUnit"
	CodeOutOfRange     Code = "pastRail"
	CodeContradiction  Code = "contradiction"
	CodeTooLarge       Code = "tooLarge"
)

// Problem is a fault in the text of a tree.
type Problem struct {
	Code Code `json:"code"`
	// Path is the dotted key with the fault, Line its line number, counted from 1; they are empty and 0 if unknown.
	Path string `json:"path,omitempty"`
	Line int    `json:"line,omitempty"`
	// Got is the faulty value or name, or a description of the fault.
	Got string `json:"got,omitempty"`
	// Nearest is the valid name most similar to the one given.
	Nearest string `json:"nearest,omitempty"`
	// Allowed describes the values that are allowed.
	Allowed string `json:"allowed,omitempty"`
}

// Error formats the problem as one line.
func (p Problem) Error() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Path != "" {
		fmt.Fprintf(&b, "%s: ", p.Path)
	}
	b.WriteString(p.Code.phrase())
	if p.Got != "" {
		fmt.Fprintf(&b, " %s", p.Got)
	}
	if p.Nearest != "" {
		fmt.Fprintf(&b, ", did you mean %q?", p.Nearest)
	}
	if p.Allowed != "" {
		fmt.Fprintf(&b, " (allowed: %s)", p.Allowed)
	}

	return b.String()
}

var phrases = map[Code]string{
	CodeSyntax:         "not valid TOML:",
	CodeUnknownKey:     "unknown key",
	CodeUnknownPlace:   "unknown place",
	CodeUnknownService: "unknown service",
	CodeUnknownKind:    "unknown kind",
	CodeWrongLevel:     "key does not belong at this level:",
	CodeWrongType:      "wrong type:",
	CodeBadUnit:        "bad value or unit:",
	CodeOutOfRange:     "past a hard rail:",
	CodeContradiction:  "contradiction:",
	CodeTooLarge:       "too large:",
}

func (c Code) phrase() string {
	return phrases[c]
}

// Problems holds all faults found in one text, sorted by line.
type Problems []Problem

// Error formats the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}

	return strings.Join(lines, "\n")
}
