// Package spec compiles applied files, which are strict TOML, into sorted specs
// (wire.Spec), and computes and applies the deltas between specs. A spec and everything it
// points to is immutable once built; a patched spec shares the unchanged parts of the old
// one.
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
	// MaxFileBytes bounds an applied file. It must stay well below the largest message
	// of the replicated log, because an entry that can't be sent would stop the log.
	MaxFileBytes = 8 << 20
	// maxErrors bounds the errors reported for one file.
	maxErrors = 50
)

// Digest returns the SHA-256 digest of a document in lower-case hex.
func Digest(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

// Parse compiles an applied file. The returned spec's index is 0; the state machine sets
// it when it accepts the file. An error is always an ErrorList.
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
	if len(c.issues) > 0 {
		return nil, c.errorList()
	}
	s.Digest = Digest(data)
	return s, nil
}

// decodeErrors converts an error of the TOML decoder into errors that state what is
// allowed.
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
	if typ := fieldType(de.Key()); typ != "" {
		e.Problem += "; it must be " + typ
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
			Problem: unknownFieldProblem(de.Key()),
		})
	}
	return list
}

// unknownFieldProblem describes an unknown key, listing the keys that are allowed in the
// innermost known table on its path.
func unknownFieldProblem(key toml.Key) string {
	for n := len(key) - 1; n >= 0; n-- {
		table := strings.Join(key[:n], ".")
		fields, ok := allowedFields[table]
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

// fieldType returns the documented type of a key, or "" if the key is unknown.
func fieldType(key toml.Key) string {
	if len(key) == 0 {
		return ""
	}
	last := len(key) - 1
	for _, f := range allowedFields[strings.Join(key[:last], ".")] {
		if f.name == key[last] {
			return f.typ
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
