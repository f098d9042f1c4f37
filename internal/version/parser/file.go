package parser

// File is a parsed INI file, with its sections in file order. It is immutable.
type File struct {
	name     string
	sections []*Section
}

// Name returns the file's name as given to Parse.
func (f *File) Name() string { return f.name }

// Section returns the section with the given header, or nil.
func (f *File) Section(name string) *Section {
	for _, s := range f.sections {
		if s.name == name {
			return s
		}
	}
	return nil
}

// Sections returns all sections. The caller must not change the slice.
func (f *File) Sections() []*Section { return f.sections }

// Section is one section of a file, with its keys in file order. It is immutable.
type Section struct {
	name string
	line int
	keys []*Key
}

// Name returns the header without its brackets.
func (s *Section) Name() string { return s.name }

// Line returns the number of the header's line, from 1.
func (s *Section) Line() int { return s.line }

// Key returns the key with the given name, or nil.
func (s *Section) Key(name string) *Key {
	for _, k := range s.keys {
		if k.name == name {
			return k
		}
	}
	return nil
}

// Keys returns all keys. The caller must not change the slice.
func (s *Section) Keys() []*Key { return s.keys }

// Key is one key of a section, with its value and line. It is immutable.
type Key struct {
	name, value string
	line        int
}

// Name returns the key's name.
func (k *Key) Name() string { return k.name }

// Value returns the text of the value, without surrounding space.
func (k *Key) Value() string { return k.value }

// Line returns the number of the key's line, from 1.
func (k *Key) Line() int { return k.line }
