package config

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// FileError is a fault in a settings file and its position.
type FileError struct {
	File string
	// Line is counted from 1; it is 0 if the key is not in the file.
	Line    int
	Key     string
	Problem string
}

// Error formats file, line, key and problem as one line.
func (e *FileError) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", position, e.Problem)
	}

	return fmt.Sprintf("%s: %s: %s", position, e.Key, e.Problem)
}

// Load reads a settings file, sets defaults and checks the values. Faults in the file are returned as *FileError.
func Load(file string) (Node, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Node{}, errors.Wrap(err, "read settings file")
	}

	return Parse(file, text)
}

// Parse is like Load, but takes the text of the file; file is the name used in errors.
func Parse(file string, text []byte) (Node, error) {
	var node Node
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&node); err != nil {
		return Node{}, toFileError(file, err)
	}
	node = node.WithDefaults()
	if fileError := check(node); fileError != nil {
		fileError.File = file
		fileError.Line = lineOf(text, fileError.Key)

		return Node{}, fileError
	}

	return node, nil
}

// toFileError converts an error of the TOML decoder to *FileError.
func toFileError(file string, err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0 {
		first := unknownKeys.Errors[0]
		line, _ := first.Position()
		key := strings.Join(first.Key(), ".")

		return &FileError{File: file, Line: line, Key: key, Problem: "unknown key" + suggestion(key)}
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()

		return &FileError{File: file, Line: line, Key: strings.Join(decode.Key(), "."), Problem: strings.TrimPrefix(decode.Error(), "toml: ")}
	}

	return &FileError{File: file, Problem: err.Error()}
}

// lineOf returns the line that sets a dotted key, 0 if none does.
func lineOf(text []byte, key string) int {
	table, name := "", key
	if dot := strings.LastIndexByte(key, '.'); dot >= 0 {
		table, name = key[:dot], key[dot+1:]
	}
	current := ""
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			current = strings.Trim(line, "[] ")

			continue
		}
		if left, _, found := strings.Cut(line, "="); found && current == table && strings.TrimSpace(left) == name {
			return i + 1
		}
	}

	return 0
}
