// Package configurer loads the settings of nodes and control instances from INI files. It
// checks them as strictly as the configuration of services.
//
// # Usage
//
//	node, err := configurer.LoadNode("/etc/banyanscale/node.ini")
//	control, err := configurer.LoadControl("/etc/banyanscale/control.ini")
//
// A node's file has one section [node], a control instance's file one section [control].
// Every error is reported with file, line, key and the nearest valid key. Addresses are IP
// addresses with a port.
package configurer

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/banyanscale/banyanscale/internal/version/parser"
)

// Keys that both kinds of settings have.
const (
	keyFailureDomain  = "failure-domain"
	keyInstance       = "instance"
	keyLogLevel       = "log-level"
	keyMaxDescriptors = "max-descriptors"
	keyMemoryMB       = "memory-mb"
	keyPeerAddress    = "peer-address"
	keyRegion         = "region"
	keySeeds          = "seeds"
	keySite           = "site"
)

var logLevels = []string{"debug", "info", "warn", "error"}

// load reads the file at path, which must have the named section and no other.
func load(path, section string) (*parser.Reader, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return parse(path, data, section)
}

func parse(path string, data []byte, section string) (*parser.Reader, error) {
	file, err := parser.Parse(path, data)
	if err != nil {
		return nil, fmt.Errorf("parse settings: %w", err)
	}
	if file.Section(section) == nil {
		missing := parser.NewError(path, 0, section, "the section is missing")
		return nil, fmt.Errorf("check settings: %w", parser.Errors{missing})
	}
	r := parser.NewReader(path, file.Section(section))
	for _, other := range file.Sections() {
		if other.Name() != section {
			r.AddError(other.Line(), other.Name(), parser.UnknownMessage("section", other.Name(), []string{section}))
		}
	}
	return r, nil
}

// check returns all errors that r found in its section.
func check(r *parser.Reader) error {
	if errs := r.Errors(); len(errs) > 0 {
		return fmt.Errorf("check settings: %w", errs)
	}
	return nil
}

func parseLogLevel(value string) (zerolog.Level, error) {
	name, err := parser.OneOf(value, logLevels)
	if err != nil {
		return zerolog.NoLevel, err
	}
	return zerolog.ParseLevel(name)
}

func parseAbsolutePath(value string) (string, error) {
	if !filepath.IsAbs(value) {
		return "", errors.Errorf("%q is not an absolute path", value)
	}
	return filepath.Clean(value), nil
}
