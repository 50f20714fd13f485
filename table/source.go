package table

import (
	"bytes"
	"strconv"
	"strings"
	"unsafe"

	"github.com/tailscale/hujson"
)

// maxDepth is the maximum nesting of objects and arrays. The tables need 6. The parser is recursive:
// without a limit, 1 MB of "[" would exhaust the stack and crash the process.
const maxDepth = 16

// source is the text of one table and its syntax tree.
type source struct {
	file string
	raw  []byte
	// text is raw as a string, without a copy. Digests of tokens remain substrings of it: the raw values
	// are retained with the pair anyway, and copies of 1.4 million digests would take 90 MB of the 256
	// MB that the control plane may use. Raw values are never modified.
	text string
	root hujson.Value
}

// parseSource parses raw, which is JSON with comments.
func parseSource(file string, raw []byte) (*source, Problems) {
	s := &source{file: file, raw: raw}
	if offset, ok := depthExceeded(raw); ok {
		return nil, Problems{s.problem(offset, "", "nesting is deeper than "+strconv.Itoa(maxDepth))}
	}
	root, err := hujson.Parse(raw)
	if err != nil {
		return nil, Problems{s.syntaxProblem(err)}
	}
	s.text = unsafe.String(unsafe.SliceData(raw), len(raw))
	s.root = root
	return s, nil
}

// problem returns a Problem located at the byte offset.
func (s *source) problem(offset int, pointer, reason string) Problem {
	before := s.raw[:min(offset, len(s.raw))]
	return Problem{
		File:    s.file,
		Line:    bytes.Count(before, []byte("\n")) + 1,
		Column:  len(before) - bytes.LastIndexByte(before, '\n'),
		Pointer: pointer,
		Reason:  reason,
	}
}

// syntaxProblem extracts the position from the parser's message "hujson: line L, column C: reason",
// because the parser has no typed error.
func (s *source) syntaxProblem(err error) Problem {
	p := Problem{File: s.file, Line: 1, Column: 1, Reason: err.Error()}
	rest, ok := strings.CutPrefix(p.Reason, "hujson: line ")
	if !ok {
		return p
	}
	position, reason, ok := strings.Cut(rest, ": ")
	if !ok {
		return p
	}
	line, column, _ := strings.Cut(position, ", column ")
	p.Line, _ = strconv.Atoi(line)
	p.Column, _ = strconv.Atoi(column)
	p.Reason = reason
	return p
}

// locate returns the offset of the value at the JSON pointer. If the pointer names an absent optional
// field, it returns the offset of the nearest enclosing value.
func (s *source) locate(pointer string) int {
	if s.root.Value == nil {
		s.root, _ = hujson.Parse(s.raw) // The same text was parsed before without an error.
	}
	for pointer != "" {
		if v := s.root.Find(pointer); v != nil {
			return v.StartOffset
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
	return s.root.StartOffset
}

// depthExceeded returns the offset at which the nesting of raw exceeds maxDepth. It skips strings and
// comments like the parser does. Text that is not JSON is left to the parser to report.
func depthExceeded(raw []byte) (offset int, exceeded bool) {
	depth := 0
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '{', '[':
			depth++
			if depth > maxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		case '"':
			i = stringEnd(raw, i)
		case '/':
			i = commentEnd(raw, i)
		}
	}
	return 0, false
}

// stringEnd returns the index of the quote that closes the string opened at raw[i].
func stringEnd(raw []byte, i int) int {
	for i++; i < len(raw) && raw[i] != '"'; i++ {
		if raw[i] == '\\' {
			i++
		}
	}
	return i
}

// commentEnd returns the index of the last byte of the comment that starts at raw[i], or i if no comment
// starts there.
func commentEnd(raw []byte, i int) int {
	end := ""
	switch {
	case bytes.HasPrefix(raw[i:], []byte("//")):
		end = "\n"
	case bytes.HasPrefix(raw[i:], []byte("/*")):
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(raw[i+2:], []byte(end))
	if n < 0 {
		return len(raw)
	}
	return i + 2 + n + len(end) - 1
}
