// Package parser reads strict INI: sections with keys, and a position for
// each, so that an error can name the file, the line, the key and the nearest
// valid key.
//
// # Usage
//
//	file, err := parser.Parse("base.ini", data)
//	if err != nil {
//		return err // Every fault of the file: an Errors.
//	}
//	for _, section := range file.Sections() {
//		for _, key := range section.Keys() {
//			fmt.Println(section.Name(), key.Name(), key.Value(), key.Line())
//		}
//	}
//
// The syntax is that of gopkg.in/ini.v1 without its extensions: no text
// outside a section, no doubled sections or keys, no quoting, no continued
// lines, no interpolation and no comment behind a value. A comment is a line
// of its own that starts with "#" or ";". Names are in kebab case.
package parser

import (
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// maxBytes bounds the size of one file.
const maxBytes = 4 << 20

var (
	sectionPattern = regexp.MustCompile(`^[a-z][a-z0-9-]*( [a-z0-9][a-z0-9.-]*)?$`)
	keyPattern     = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)
)

// libraryOptions turn off what ini.v1 offers beyond plain keys and values.
var libraryOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	PreserveSurroundedQuote: true,
	KeyValueDelimiters:      "=",
}

// scanner finds the positions of sections and keys, and all faults of a file.
type scanner struct {
	file    *File
	errs    Errors
	current *Section
	skip    bool // Set while the header of the current section is faulty.
}

// Parse reads data as strict INI. The name of the file only serves messages.
// On a fault it returns Errors with every fault of the file, and no file.
func Parse(file string, data []byte) (*File, error) {
	s := &scanner{file: &File{name: file}}
	if len(data) > maxBytes {
		s.fail(1, "", "the file is larger than 4 MiB")
		return nil, s.errs
	}
	for i, line := range strings.Split(string(data), "\n") {
		s.line(i+1, line)
	}
	if len(s.errs) > 0 {
		return nil, s.errs
	}
	s.load(data)
	if len(s.errs) > 0 {
		return nil, s.errs
	}
	return s.file, nil
}

func (s *scanner) fail(line int, key, message string) {
	s.errs = append(s.errs, NewError(s.file.name, line, key, message))
}

func (s *scanner) line(n int, raw string) {
	if !printable(strings.TrimSuffix(raw, "\r")) {
		s.fail(n, "", "the line is not plain UTF-8 text")
		return
	}
	text := strings.TrimSpace(raw)
	switch {
	case text == "" || text[0] == '#' || text[0] == ';':
	case text[0] == '[':
		s.header(n, text)
	default:
		s.setting(n, text)
	}
}

func (s *scanner) header(n int, text string) {
	s.skip = true
	name := strings.TrimSuffix(strings.TrimPrefix(text, "["), "]")
	if !strings.HasSuffix(text, "]") || !sectionPattern.MatchString(name) {
		s.fail(n, text, "not a section header of the form [kind] or [kind name] in kebab case")
		return
	}
	if first := s.file.Section(name); first != nil {
		s.fail(n, text, "the section stands twice, first on line "+itoa(first.line))
		return
	}
	s.skip = false
	s.current = &Section{name: name, line: n}
	s.file.sections = append(s.file.sections, s.current)
}

func (s *scanner) setting(n int, text string) {
	name, value, found := strings.Cut(text, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	fault := CheckValue(value)
	switch {
	case !found:
		s.fail(n, text, `neither a [section] nor a setting of the form "key = value"`)
	case !keyPattern.MatchString(name):
		s.fail(n, name, "the key is not in kebab case")
	case s.current == nil && !s.skip:
		s.fail(n, name, "the key stands before the first section")
	case fault != nil:
		s.fail(n, name, fault.Error())
	case s.skip:
	default:
		s.add(&Key{name: name, value: value, line: n})
	}
}

func (s *scanner) add(key *Key) {
	if first := s.current.Key(key.name); first != nil {
		s.fail(key.line, key.name, "the key stands twice, first on line "+itoa(first.line))
		return
	}
	s.current.keys = append(s.current.keys, key)
}

// load reads the values by the library and reports a key that it reads otherwise.
func (s *scanner) load(data []byte) {
	f, err := ini.LoadSources(libraryOptions, data)
	if err != nil {
		s.fail(1, "", err.Error())
		return
	}
	for _, section := range s.file.sections {
		for _, key := range section.keys {
			read, err := f.Section(section.name).GetKey(key.name)
			if err != nil || read.Value() != key.value {
				s.fail(key.line, key.name, "the value cannot be read as plain text")
			}
		}
	}
}

func printable(line string) bool {
	if !utf8.ValidString(line) {
		return false
	}
	return strings.IndexFunc(line, func(r rune) bool {
		return r != '\t' && !unicode.IsPrint(r)
	}) < 0
}
