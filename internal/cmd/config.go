package cmd

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/version/parser"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// defaultCallTimeout bounds a call to one control instance. It is longer than
// the time after which such an instance gives up on reaching a majority.
const defaultCallTimeout = 15 * time.Second

// errInvalidFiles reports errors in files. The errors themselves were printed before.
var errInvalidFiles = errors.New("the files have errors")

// configCommand returns the parent of the config commands.
func configCommand(app *kingpin.Application) *kingpin.CmdClause {
	if parent := app.GetCommand("config"); parent != nil {
		return parent
	}
	return app.Command("config", "Check, compare, submit and show the configuration.")
}

// controlFlags are the flags of a command that calls control instances.
type controlFlags struct {
	addresses string
	timeout   time.Duration
}

func (f *controlFlags) add(command *kingpin.CmdClause, required bool) {
	flag := command.Flag("control", "Addresses of control instances, separated by commas.").PlaceHolder("ADDR")
	if required {
		flag = flag.Required()
	}
	flag.StringVar(&f.addresses)
	command.Flag("timeout", "How long to wait for one control instance.").
		Default(defaultCallTimeout.String()).DurationVar(&f.timeout)
}

func (f *controlFlags) client() (controlClient, error) {
	addresses, err := f.parseAddresses()
	if err != nil {
		return nil, err
	}
	return newFailoverClient(addresses, f.timeout), nil
}

func (f *controlFlags) parseAddresses() ([]netip.AddrPort, error) {
	addresses, err := parser.Addresses(f.addresses)
	if err != nil {
		return nil, fmt.Errorf("read --control: %w", err)
	}
	return addresses, nil
}

// editFlags are the flags of a command that edits the version in force.
type editFlags struct {
	files       []string
	removeSites []string
}

func (f *editFlags) add(command *kingpin.CmdClause) {
	command.Flag("remove-site", "Remove the overlay of this site. May be repeated.").PlaceHolder("NAME").StringsVar(&f.removeSites)
	command.Arg("files", "Edited files: the base file, overlays, or both.").Required().StringsVar(&f.files)
}

// apply returns doc with the edits applied. It prints errors in the files to w,
// one per line.
func (f *editFlags) apply(w io.Writer, doc *controlwire.Document) (*controlwire.Document, error) {
	doc, err := compiler.WithoutSites(doc, f.removeSites)
	if err != nil {
		return nil, fmt.Errorf("remove overlays: %w", err)
	}
	return readDocument(w, doc, f.files)
}

// readDocument reads and checks the base file and overlays. Layers for which
// there is no file are taken from previous, which may be nil. It prints errors
// in the files to w, one per line.
func readDocument(w io.Writer, previous *controlwire.Document, names []string) (*controlwire.Document, error) {
	files := make([]compiler.Source, len(names))
	for i, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("read configuration: %w", err)
		}
		files[i] = compiler.Source{Name: name, Data: data}
	}
	doc, err := compiler.ReplaceLayers(previous, files)
	var parseErrs parser.Errors
	if errors.As(err, &parseErrs) {
		fmt.Fprintln(w, parseErrs)
		return nil, errInvalidFiles
	}
	if err != nil {
		return nil, fmt.Errorf("parse configuration: %w", err)
	}
	return doc, nil
}

// printHistoryEntry prints who changed what and when.
func printHistoryEntry(w io.Writer, e *controlwire.HistoryEntry) {
	at := time.UnixMilli(e.GetAcceptedUnixMs()).UTC().Format(time.RFC3339)
	fmt.Fprintf(w, "version %d by %s at %s, change %s: %s\n", e.GetNumber(), e.GetOperator(), at, e.GetChangeId(), e.GetMessage())
	for _, change := range e.GetChanges() {
		fmt.Fprintf(w, "  %s\n", compiler.FormatChange(change))
	}
}

// summarizeDocument returns the numbers of services and owners and the sites
// that have an overlay.
func summarizeDocument(doc *controlwire.Document) (string, error) {
	cfg, err := compiler.Compile(doc, "", 0)
	if err != nil {
		return "", fmt.Errorf("compile configuration: %w", err)
	}
	sites := "no overlay"
	if names := compiler.Sites(doc); len(names) > 0 {
		sites = "overlays for " + strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s, %s, %s", pluralize(len(cfg.Services()), "service"), pluralize(len(cfg.Owners()), "owner"), sites), nil
}

// pluralize returns the number with the noun, in the plural unless n is 1.
func pluralize(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return fmt.Sprintf("%d %s", n, noun)
}

// exitError is an error that determines the exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the cause.
func (e *exitError) Error() string { return e.err.Error() }

// ExitCode returns the exit code of the program.
func (e *exitError) ExitCode() int { return e.code }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }
