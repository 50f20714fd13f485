// Package settings reads the settings of a process from JSON with comments and checks them, so that
// a wrong setting is reported with its file, line and reason before the process serves anybody.
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

// Checker is implemented by settings that have rules beyond their types.
type Checker interface {
	// Check returns the first rule that the settings break.
	Check() error
}

// Read reads the file at path into s, refuses unknown fields, and calls s.Check. Errors are of
// class Error and name the file and, for syntax and type errors, the line and column.
func Read(path string, s Checker) error {
	src, err := os.ReadFile(path)
	if err != nil {
		return Error.Wrap(err)
	}
	return Parse(path, src, s)
}

// Parse is Read for bytes at hand; path only names them in errors.
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

// offset returns the byte at which decoding failed. Standardize keeps offsets, so the position is
// the same in the commented source.
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

// position turns a byte offset into a line and a column, both counted from 1.
func position(src []byte, offset int64) (line, column int) {
	before := src[:min(int(offset), len(src))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1
	return line, column
}
