package compiler

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/parser"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// ErrNoFiles means that Parse or ReplaceLayers was called without files.
var ErrNoFiles = errors.New("no base file and no overlay given")

// Source is one configuration file: the overlay of a site if it has a section
// [site], else the base file.
type Source struct {
	// Name is the file's name in error messages.
	Name string
	// Data is the content of the file.
	Data []byte
}

// documentBuilder collects the entries of several files into a document, with their
// positions and the errors in them.
type documentBuilder struct {
	doc       *controlwire.Document
	positions map[entryID]position
	errs      parser.Errors
}

// Parse parses the base file and the overlays of all sites, in any order, and checks
// the result for every site. It returns the document in canonical order, or
// parser.Errors with the file, line and key of every error.
func Parse(files []Source) (*controlwire.Document, error) { return ReplaceLayers(nil, files) }

// ReplaceLayers returns doc with the layers that files define replaced, in canonical
// order. Other layers stay as they are, so an overlay can be parsed without the other
// files. Otherwise it works like Parse.
func ReplaceLayers(doc *controlwire.Document, files []Source) (*controlwire.Document, error) {
	if len(files) == 0 {
		return nil, ErrNoFiles
	}
	parsed, err := parseAll(files)
	if err != nil {
		return nil, err
	}
	b := &documentBuilder{doc: &controlwire.Document{}, positions: make(map[entryID]position)}
	for _, file := range parsed {
		b.addFile(file)
	}
	b.addOtherLayers(doc)
	if !b.hasBase() && len(b.errs) == 0 {
		b.addError(parsed[0].Name(), 0, "", "the base file, which has no section [site], is missing")
	}
	if len(b.errs) > 0 {
		return nil, b.errs
	}
	b.doc.Entries = canonicalEntries(b.doc)
	if err := toParserErrors(checkAllSites(b.doc), b.positions); err != nil {
		return nil, err
	}
	return b.doc, nil
}

// addOtherLayers adds the entries of those layers of doc for which there is no file.
func (b *documentBuilder) addOtherLayers(doc *controlwire.Document) {
	for _, e := range doc.GetEntries() {
		if _, defined := b.positions[entryID{layer: e.GetLayer()}]; !defined {
			b.doc.Entries = append(b.doc.Entries, e)
		}
	}
}

func (b *documentBuilder) hasBase() bool {
	_, defined := b.positions[entryID{layer: baseLayer}]
	return defined || slices.ContainsFunc(b.doc.GetEntries(), func(e *controlwire.Entry) bool { return e.GetLayer() == baseLayer })
}

// WithoutSites returns the document without the overlays of the given sites. It
// returns ErrNotApplicable if one of the sites has no overlay.
func WithoutSites(doc *controlwire.Document, sites []string) (*controlwire.Document, error) {
	present := Sites(doc)
	for _, site := range sites {
		if !slices.Contains(present, site) {
			return nil, errors.Wrapf(ErrNotApplicable, "no overlay of %s: %s", site, parser.UnknownMessage("site", site, present))
		}
	}
	remaining := &controlwire.Document{}
	for _, e := range doc.GetEntries() {
		if !slices.Contains(sites, e.GetLayer()) {
			remaining.Entries = append(remaining.Entries, e)
		}
	}
	return remaining, nil
}

// parseAll parses each file, and returns the errors in all of them together.
func parseAll(files []Source) ([]*parser.File, error) {
	var errs parser.Errors
	var parsed []*parser.File
	for _, source := range files {
		file, err := parser.Parse(source.Name, source.Data)
		var fileErrs parser.Errors
		if errors.As(err, &fileErrs) {
			errs = append(errs, fileErrs...)
		}
		parsed = append(parsed, file)
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return parsed, nil
}

func (b *documentBuilder) addError(file string, line int, key, message string) {
	b.errs = append(b.errs, parser.NewError(file, line, key, message))
}

// addFile adds the entries of a file. The section [site] determines their layer.
func (b *documentBuilder) addFile(file *parser.File) {
	layer := baseLayer
	if site := file.Section(kindSite); site != nil {
		name := site.Key(keyName)
		if name == nil {
			b.addError(file.Name(), site.Line(), kindSite, "the key name is missing")
			return
		}
		layer = name.Value()
		if _, err := parser.Name(layer); err != nil {
			b.addError(file.Name(), name.Line(), keyName, err.Error())
			return
		}
	}
	if !b.claimLayer(file, layer) {
		return
	}
	for _, section := range file.Sections() {
		b.addSection(file, layer, section)
	}
}

// claimLayer records that file defines the layer. If an earlier file already does, it
// adds an error and returns false.
func (b *documentBuilder) claimLayer(file *parser.File, layer string) bool {
	id := entryID{layer: layer}
	if first, taken := b.positions[id]; taken {
		description := "the overlay of site " + layer
		if layer == baseLayer {
			description = "the base file, and an overlay needs a section [site]"
		}
		b.addError(file.Name(), 0, "", first.file+" is already "+description)
		return false
	}
	b.positions[id] = position{file: file.Name(), line: 1}
	return true
}

func (b *documentBuilder) addSection(file *parser.File, layer string, section *parser.Section) {
	header := entryID{layer: layer, section: section.Name()}
	b.positions[header] = position{file: file.Name(), line: section.Line()}
	if len(section.Keys()) == 0 {
		b.addError(file.Name(), section.Line(), section.Name(), "the section has no keys")
	}
	for _, key := range section.Keys() {
		id := entryID{layer: layer, section: section.Name(), key: key.Name()}
		b.doc.Entries = append(b.doc.Entries, newEntry(id, key.Value()))
		b.positions[id] = position{file: file.Name(), line: key.Line()}
	}
}

// compareErrors orders errors by file and line.
func compareErrors(a, b *parser.Error) int {
	return cmp.Or(cmp.Compare(a.File(), b.File()), cmp.Compare(a.Line(), b.Line()))
}
