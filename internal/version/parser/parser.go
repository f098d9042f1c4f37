// Package parser reads a strict subset of INI. It keeps the line of each section
// and key, so that an error can name the file, the line, the key and the nearest
// valid key.
//
// # Usage
//
//	file, err := parser.Parse("base.ini", data)
//	if err != nil {
//		return err // Errors with every error in the file.
//	}
//	for _, section := range file.Sections() {
//		for _, key := range section.Keys() {
//			fmt.Println(section.Name(), key.Name(), key.Value(), key.Line())
//		}
//	}
//
// The syntax is that of gopkg.in/ini.v1 without its extensions: no text
// outside a section, no duplicate sections or keys, no quoting, no line
// continuation, no interpolation and no comment after a value. A comment is a
// line of its own that starts with "#" or ";". Names are in kebab case.
package parser

import (
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// maxFileBytes is the maximum size of one file.
const maxFileBytes = 4 << 20

var (
	sectionPattern = regexp.MustCompile(`^[a-z][a-z0-9-]*( [a-z0-9][a-z0-9.-]*)?$`)
	keyPattern     = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)
)

// iniOptions disables the extensions of ini.v1 beyond plain keys and values.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	PreserveSurroundedQuote: true,
	KeyValueDelimiters:      "=",
}

// scanner collects the sections and keys of a file with their lines, and all
// errors in it.
type scanner struct {
	file             *File
	errs             Errors
	current          *Section
	inInvalidSection bool // Set after an invalid header: its keys are checked, not kept.
}

// Parse parses the content of a file. The name of the file is only used in error
// messages. If data is invalid, Parse returns nil and Errors with every error.
func Parse(file string, data []byte) (*File, error) {
	s := &scanner{file: &File{name: file}}
	if len(data) > maxFileBytes {
		s.addError(1, "", "the file is larger than 4 MiB")
		return nil, s.errs
	}
	for i, line := range strings.Split(string(data), "\n") {
		s.scanLine(i+1, line)
	}
	if len(s.errs) > 0 {
		return nil, s.errs
	}
	s.compareWithLibrary(data)
	if len(s.errs) > 0 {
		return nil, s.errs
	}
	return s.file, nil
}

func (s *scanner) addError(line int, key, message string) {
	s.errs = append(s.errs, NewError(s.file.name, line, key, message))
}

func (s *scanner) scanLine(n int, raw string) {
	if !isPrintable(strings.TrimSuffix(raw, "\r")) {
		s.addError(n, "", "the line is not printable UTF-8 text")
		return
	}
	text := strings.TrimSpace(raw)
	switch {
	case text == "" || text[0] == '#' || text[0] == ';':
	case text[0] == '[':
		s.scanHeader(n, text)
	default:
		s.scanKey(n, text)
	}
}

func (s *scanner) scanHeader(n int, text string) {
	s.inInvalidSection = true
	name := strings.TrimSuffix(strings.TrimPrefix(text, "["), "]")
	if !strings.HasSuffix(text, "]") || !sectionPattern.MatchString(name) {
		s.addError(n, text, "not a section header of the form [kind] or [kind name] in kebab case")
		return
	}
	if first := s.file.Section(name); first != nil {
		s.addError(n, text, "duplicate section, first on line "+itoa(first.line))
		return
	}
	s.inInvalidSection = false
	s.current = &Section{name: name, line: n}
	s.file.sections = append(s.file.sections, s.current)
}

func (s *scanner) scanKey(n int, text string) {
	name, value, found := strings.Cut(text, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	valueErr := CheckValue(value)
	switch {
	case !found:
		s.addError(n, text, `neither a [section] nor a setting of the form "key = value"`)
	case !keyPattern.MatchString(name):
		s.addError(n, name, "the key is not in kebab case")
	case s.current == nil && !s.inInvalidSection:
		s.addError(n, name, "the key is outside a section")
	case valueErr != nil:
		s.addError(n, name, valueErr.Error())
	case s.inInvalidSection:
	default:
		s.addKey(&Key{name: name, value: value, line: n})
	}
}

func (s *scanner) addKey(key *Key) {
	if first := s.current.Key(key.name); first != nil {
		s.addError(key.line, key.name, "duplicate key, first on line "+itoa(first.line))
		return
	}
	s.current.keys = append(s.current.keys, key)
}

// compareWithLibrary parses data with ini.v1 and reports each key for which the
// library has a different value, or none.
func (s *scanner) compareWithLibrary(data []byte) {
	f, err := ini.LoadSources(iniOptions, data)
	if err != nil {
		s.addError(1, "", err.Error())
		return
	}
	for _, section := range s.file.sections {
		for _, key := range section.keys {
			libraryKey, err := f.Section(section.name).GetKey(key.name)
			if err != nil || libraryKey.Value() != key.value {
				s.addError(key.line, key.name, "the value uses unsupported INI syntax")
			}
		}
	}
}

func isPrintable(line string) bool {
	if !utf8.ValidString(line) {
		return false
	}
	return strings.IndexFunc(line, func(r rune) bool {
		return r != '\t' && !unicode.IsPrint(r)
	}) < 0
}
