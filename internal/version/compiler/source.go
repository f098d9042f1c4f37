package compiler

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/parser"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// ErrNoFiles reports that no file was given to Parse.
var ErrNoFiles = errors.New("no base file and no overlay given")

// Source is one file that an operator wrote: the base file, or the overlay of
// a site if it has a section [site].
type Source struct {
	// Name is the file's name in messages.
	Name string
	// Data is what the file holds.
	Data []byte
}

// assembler collects the entries of several files.
type assembler struct {
	doc       *controlwire.Document
	positions map[entryID]position
	errs      parser.Errors
}

// Parse reads the base file and the overlays of all sites, in any order, and
// checks them for every site. It returns the document in canonical order, or
// parser.Errors with the file, line and key of every fault.
func Parse(files []Source) (*controlwire.Document, error) { return ParseOver(nil, files) }

// ParseOver is like Parse, but layers that no file describes stay as they are
// in the given document. So an overlay can be read alone.
func ParseOver(doc *controlwire.Document, files []Source) (*controlwire.Document, error) {
	if len(files) == 0 {
		return nil, ErrNoFiles
	}
	parsed, err := parseAll(files)
	if err != nil {
		return nil, err
	}
	a := &assembler{doc: &controlwire.Document{}, positions: make(map[entryID]position)}
	for _, file := range parsed {
		a.add(file)
	}
	a.keep(doc)
	if !a.hasBase() && len(a.errs) == 0 {
		a.fail(parsed[0].Name(), 0, "", "a base file, which has no section [site], must be given too")
	}
	if len(a.errs) > 0 {
		return nil, a.errs
	}
	a.doc.Entries = canonical(a.doc)
	if err := faultsError(checkAll(a.doc), a.positions); err != nil {
		return nil, err
	}
	return a.doc, nil
}

// keep adds the entries of the layers that no file describes.
func (a *assembler) keep(doc *controlwire.Document) {
	for _, e := range doc.GetEntries() {
		if _, described := a.positions[entryID{layer: e.GetLayer()}]; !described {
			a.doc.Entries = append(a.doc.Entries, e)
		}
	}
}

func (a *assembler) hasBase() bool {
	_, described := a.positions[entryID{layer: baseLayer}]
	return described || slices.ContainsFunc(a.doc.GetEntries(), func(e *controlwire.Entry) bool { return e.GetLayer() == baseLayer })
}

// WithoutSites returns the document without the overlays of the given sites.
// It returns ErrBase if there is none of a site.
func WithoutSites(doc *controlwire.Document, sites []string) (*controlwire.Document, error) {
	present := Sites(doc)
	for _, site := range sites {
		if !slices.Contains(present, site) {
			return nil, errors.Wrapf(ErrBase, "no overlay of %s: %s", site, parser.Unknown("site", site, present))
		}
	}
	rest := &controlwire.Document{}
	for _, e := range doc.GetEntries() {
		if !slices.Contains(sites, e.GetLayer()) {
			rest.Entries = append(rest.Entries, e)
		}
	}
	return rest, nil
}

func parseAll(files []Source) ([]*parser.File, error) {
	var errs parser.Errors
	var parsed []*parser.File
	for _, source := range files {
		file, err := parser.Parse(source.Name, source.Data)
		var faults parser.Errors
		if errors.As(err, &faults) {
			errs = append(errs, faults...)
		}
		parsed = append(parsed, file)
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return parsed, nil
}

func (a *assembler) fail(file string, line int, key, message string) {
	a.errs = append(a.errs, parser.NewError(file, line, key, message))
}

func (a *assembler) add(file *parser.File) {
	layer := baseLayer
	if site := file.Section(kindSite); site != nil {
		name := site.Key(keyName)
		if name == nil {
			a.fail(file.Name(), site.Line(), kindSite, "the key name is missing")
			return
		}
		layer = name.Value()
		if _, err := parser.Name(layer); err != nil {
			a.fail(file.Name(), name.Line(), keyName, err.Error())
			return
		}
	}
	if !a.claim(file, layer) {
		return
	}
	for _, section := range file.Sections() {
		a.addSection(file, layer, section)
	}
}

// claim reports whether no earlier file describes the layer.
func (a *assembler) claim(file *parser.File, layer string) bool {
	id := entryID{layer: layer}
	if first, taken := a.positions[id]; taken {
		what := "the overlay of site " + layer
		if layer == baseLayer {
			what = "the base file, as no section [site] makes it an overlay"
		}
		a.fail(file.Name(), 0, "", first.file+" is already "+what)
		return false
	}
	a.positions[id] = position{file: file.Name(), line: 1}
	return true
}

func (a *assembler) addSection(file *parser.File, layer string, section *parser.Section) {
	header := entryID{layer: layer, section: section.Name()}
	a.positions[header] = position{file: file.Name(), line: section.Line()}
	if len(section.Keys()) == 0 {
		a.fail(file.Name(), section.Line(), section.Name(), "the section has no keys")
	}
	for _, key := range section.Keys() {
		id := entryID{layer: layer, section: section.Name(), key: key.Name()}
		a.doc.Entries = append(a.doc.Entries, newEntry(id, key.Value()))
		a.positions[id] = position{file: file.Name(), line: key.Line()}
	}
}

func compareErrors(a, b *parser.Error) int {
	return cmp.Or(cmp.Compare(a.File(), b.File()), cmp.Compare(a.Line(), b.Line()))
}
