package cmd

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// Permissions of the files and folders that config show creates.
const (
	folderMode = 0o755
	fileMode   = 0o644
)

var (
	errNoVersion = errors.New("no version was accepted yet")
	errNoOverlay = errors.New("no such overlay")
)

// showOptions selects the part of the version in force to show.
type showOptions struct {
	site      string
	folder    string
	effective bool
}

// configShowCmd adds the command that shows the version in force.
func configShowCmd(app *kingpin.Application, env *environment) (string, action) {
	command := configCommand(app).Command("show", "Show the version in force, as files to edit.")
	flags := &controlFlags{}
	flags.add(command, true)
	o := &showOptions{}
	command.Flag("site", "Show the overlay of this site instead of the base file.").StringVar(&o.site)
	command.Flag("effective", "Show all settings in effect at the site, including defaults.").BoolVar(&o.effective)
	command.Flag("folder", "Write the base file and all overlays into this folder.").StringVar(&o.folder)
	return command.FullCommand(), func() error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		version, err := client.Current(env.ctx)
		if err != nil {
			return fmt.Errorf("read the version in force: %w", err)
		}
		if version.GetDigest().GetNumber() == 0 {
			return errNoVersion
		}
		return o.show(env, version)
	}
}

func (o *showOptions) show(env *environment, version *controlwire.Version) error {
	number := version.GetDigest().GetNumber()
	if o.folder != "" {
		return o.writeFiles(env, version)
	}
	if o.effective {
		fmt.Fprintf(env.stdout, "# version %d, in effect\n%s", number, compiler.FormatEffective(version.GetDocument(), o.site))
		return nil
	}
	for _, file := range compiler.Format(version.GetDocument()) {
		if file.Name == compiler.FileName(o.site) {
			fmt.Fprintf(env.stdout, "# version %d, %s\n%s", number, file.Name, file.Data)
			return nil
		}
	}
	return errors.Wrapf(errNoOverlay, "site %s", o.site)
}

// writeFiles writes all files of the version. It fails if one of them exists.
func (o *showOptions) writeFiles(env *environment, version *controlwire.Version) error {
	if err := os.MkdirAll(o.folder, folderMode); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	for _, file := range compiler.Format(version.GetDocument()) {
		path := filepath.Join(o.folder, file.Name)
		if err := createFile(path, file.Data); err != nil {
			return err
		}
		fmt.Fprintf(env.stdout, "version %d: wrote %s\n", version.GetDigest().GetNumber(), path)
	}
	return nil
}

func createFile(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return fmt.Errorf("create file: %w", err)
	}
	_, writeErr := f.Write(data)
	if err := cmp.Or(writeErr, f.Close()); err != nil {
		return fmt.Errorf("write file: %w", err)
	}
	return nil
}
