package spec

import (
	"fmt"
	"strings"
)

// Error describes one invalid value or syntax error of an applied file.
type Error struct {
	Line    int    // 1-based; 0 if the error belongs to no line
	Column  int    // 1-based; 0 if the error belongs to no line
	Field   string // dotted path, e.g. "models.memory_mib"
	Problem string // what is wrong, and what is allowed
}

// Error implements error.
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.Field, e.Problem)
	}
	return fmt.Sprintf("line %d, column %d: %s: %s", e.Line, e.Column, e.Field, e.Problem)
}

// ErrorList holds the errors found in an applied file, at most maxErrors of them.
type ErrorList []*Error

// Error implements error; each element takes one line.
func (l ErrorList) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes the elements accessible to errors.Is and errors.As.
func (l ErrorList) Unwrap() []error {
	errs := make([]error, len(l))
	for i, e := range l {
		errs[i] = e
	}
	return errs
}
