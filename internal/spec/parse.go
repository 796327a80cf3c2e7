// Package spec compiles applied files: strict TOML in, a sorted wire.Spec out, and the
// deltas between two of them. Specs and what they point to are immutable once built;
// a patched spec shares the unchanged parts of the old one.
package spec

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"gentiankeel/internal/wire"
)

const (
	// MaxFileBytes bounds an applied file. It must fit one message of the replicated log
	// with room to spare: an entry that can't be sent would stop the log.
	MaxFileBytes = 8 << 20
	// maxErrors bounds the faults reported for one file.
	maxErrors = 50
)

// Digest returns the hex SHA-256 of an operator's document.
func Digest(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

// Parse compiles an applied file. The spec's index is zero: the log sets it. The error
// is an ErrorList.
func Parse(data []byte) (*wire.Spec, error) {
	if len(data) > MaxFileBytes {
		problem := fmt.Sprintf("has %d bytes, at most %d are allowed", len(data), MaxFileBytes)
		return nil, ErrorList{{Field: "file", Problem: problem}}
	}
	var f file
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return nil, decodeErrors(err)
	}
	c := compiler{data: data}
	s := c.compile(&f)
	if len(c.faults) > 0 {
		return nil, c.errorList()
	}
	s.Digest = Digest(data)
	return s, nil
}

// decodeErrors turns the decoder's errors into faults that name what is allowed.
func decodeErrors(err error) ErrorList {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		return unknownFields(missing)
	}
	var de *toml.DecodeError
	if !errors.As(err, &de) {
		return ErrorList{{Field: "file", Problem: err.Error()}}
	}
	line, column := de.Position()
	e := &Error{Line: line, Column: column, Field: fieldPath(de.Key())}
	e.Problem = strings.TrimPrefix(de.Error(), "toml: ")
	if kind := kindOf(de.Key()); kind != "" {
		e.Problem += "; it must be " + kind
	}
	return ErrorList{e}
}

func unknownFields(missing *toml.StrictMissingError) ErrorList {
	var list ErrorList
	for i := range missing.Errors {
		if len(list) == maxErrors {
			break
		}
		de := &missing.Errors[i]
		line, column := de.Position()
		list = append(list, &Error{
			Line: line, Column: column, Field: fieldPath(de.Key()),
			Problem: unknownProblem(de.Key()),
		})
	}
	return list
}

// unknownProblem names the keys of the innermost known table on the way to key.
func unknownProblem(key toml.Key) string {
	for n := len(key) - 1; n >= 0; n-- {
		table := strings.Join(key[:n], ".")
		fields, ok := allowed[table]
		if !ok {
			continue
		}
		names := make([]string, len(fields))
		for i, f := range fields {
			names[i] = f.name
		}
		return "unknown field; allowed here: " + strings.Join(names, ", ")
	}
	return "unknown field"
}

func kindOf(key toml.Key) string {
	if len(key) == 0 {
		return ""
	}
	last := len(key) - 1
	for _, f := range allowed[strings.Join(key[:last], ".")] {
		if f.name == key[last] {
			return f.kind
		}
	}
	return ""
}

func fieldPath(key toml.Key) string {
	if len(key) == 0 {
		return "file"
	}
	return strings.Join(key, ".")
}
