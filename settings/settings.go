// Package settings reads the settings of a process from JSON with comments and checks them. An invalid
// setting is reported with its file, line and reason before the process serves requests.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// Checker is implemented by settings with rules that their types do not express.
type Checker interface {
	// Check returns an error if the settings break a rule.
	Check() error
}

// Read decodes the file at path into s and calls s.Check. Unknown fields are errors. Errors are of class
// Error. They contain the path and, for syntax and type errors, the line and column.
func Read(path string, s Checker) error {
	src, err := os.ReadFile(path)
	if err != nil {
		return Error.Wrap(err)
	}
	return Parse(path, src, s)
}

// Parse is Read for the bytes of a file. The path is used only in errors.
func Parse(path string, src []byte, s Checker) error {
	std, err := hujson.Standardize(bytes.Clone(src))
	if err != nil {
		return Error.New("%s: %v", path, err)
	}
	d := json.NewDecoder(bytes.NewReader(std))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		line, column := position(std, offset(d, err))
		return Error.New("%s:%d:%d: %v", path, line, column, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		line, column := position(std, d.InputOffset())
		return Error.New("%s:%d:%d: content after the settings", path, line, column)
	}
	if err := s.Check(); err != nil {
		return Error.New("%s: %v", path, err)
	}
	return nil
}

// offset returns the byte offset at which decoding failed. Standardize does not move bytes, so the
// offset is also valid in the source with comments.
func offset(d *json.Decoder, err error) int64 {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return typeErr.Offset
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return syntaxErr.Offset
	}
	return d.InputOffset()
}

// position converts a byte offset to a line and a column, both counted from 1.
func position(src []byte, offset int64) (line, column int) {
	before := src[:min(int(offset), len(src))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1
	return line, column
}
