package journaler_test

import (
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
)

var errIO = errors.New("input/output error")

// operation is a kind of call to the fake file system that may fail.
type operation string

const (
	opCreate     operation = "create"
	opOpen       operation = "open"
	opWrite      operation = "write"
	opTruncate   operation = "truncate"
	opSync       operation = "sync"
	opRename     operation = "rename"
	opSyncFolder operation = "sync-folder"
)

// inode holds a file's content as the process sees it, and the part that is on disk.
type inode struct {
	content, synced []byte
	unsynced        []unsyncedWrite // Appends since the last sync.
}

// unsyncedWrite is an append that a crash may lose, whatever it does to the others.
type unsyncedWrite struct{ start, end int }

// fakeFS is an in-memory file system that can fail and crash. After a crash each file has
// its synced content and possibly part of the unsynced bytes at its end.
type fakeFS struct {
	files       map[string]*inode // By path, as the process sees them.
	syncedFiles map[string]*inode // By path, as on disk.
	operations  int
	fail        func(n int, op operation) error // If set, returns the error of the n-th operation, or nil.
}

func newFakeFS() *fakeFS {
	return &fakeFS{files: make(map[string]*inode), syncedFiles: make(map[string]*inode)}
}

// crash returns the file system after a crash. Of the unsynced bytes at the end of each
// file, up to unsyncedTail remain. Names that were not synced remain if keepNames is true.
func (fs *fakeFS) crash(unsyncedTail int, keepNames bool) *fakeFS {
	restarted := newFakeFS()
	files := fs.syncedFiles
	if keepNames {
		files = fs.files
	}
	for name, file := range files {
		content := slices.Clone(file.synced)
		if len(file.content) > len(file.synced) {
			content = append(content, file.content[len(file.synced):min(len(file.content), len(file.synced)+unsyncedTail)]...)
		}
		durable := &inode{content: content, synced: content}
		restarted.files[name], restarted.syncedFiles[name] = durable, durable
	}
	return restarted
}

// crashKeeping returns the file system after a crash that keeps, of the unsynced writes to
// each file, those whose bit is set in the mask. A lost one before a kept one leaves zeros.
func (fs *fakeFS) crashKeeping(mask int) *fakeFS {
	restarted := newFakeFS()
	for name, file := range fs.syncedFiles {
		content := slices.Clone(file.synced)
		for i, write := range file.unsynced {
			if mask&(1<<i) == 0 {
				continue
			}
			content = append(content, make([]byte, max(0, write.end-len(content)))...)
			copy(content[write.start:write.end], file.content[write.start:write.end])
		}
		durable := &inode{content: content, synced: content}
		restarted.files[name], restarted.syncedFiles[name] = durable, durable
	}
	return restarted
}

// begin counts an operation and returns the error that it fails with, or nil.
func (fs *fakeFS) begin(op operation) error {
	fs.operations++
	if fs.fail == nil {
		return nil
	}
	return fs.fail(fs.operations, op)
}

func (fs *fakeFS) MakeFolder(string) error { return nil }

func (fs *fakeFS) Create(path string) (journaler.File, error) {
	if err := fs.begin(opCreate); err != nil {
		return nil, err
	}
	fs.files[path] = &inode{}
	return &fakeFile{fs: fs, node: fs.files[path]}, nil
}

func (fs *fakeFS) OpenAppend(path string) (journaler.File, error) {
	if err := fs.begin(opOpen); err != nil {
		return nil, err
	}
	return &fakeFile{fs: fs, node: fs.files[path]}, nil
}

func (fs *fakeFS) ReadFile(path string) ([]byte, error) {
	if n, ok := fs.files[path]; ok {
		return slices.Clone(n.content), nil
	}
	return nil, os.ErrNotExist
}

func (fs *fakeFS) Rename(from, to string) error {
	if err := fs.begin(opRename); err != nil {
		return err
	}
	fs.files[to] = fs.files[from]
	delete(fs.files, from)
	return nil
}

func (fs *fakeFS) Remove(path string) error {
	delete(fs.files, path)
	return nil
}

func (fs *fakeFS) SyncFolder(folder string) error {
	if err := fs.begin(opSyncFolder); err != nil {
		return err
	}
	fs.syncedFiles = make(map[string]*inode)
	for name, n := range fs.files {
		if filepath.Dir(name) == folder {
			fs.syncedFiles[name] = n
		}
	}
	return nil
}

func (fs *fakeFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// fakeFile is an open file of a fakeFS.
type fakeFile struct {
	fs   *fakeFS
	node *inode
}

// Write writes half of the bytes when it fails.
func (f *fakeFile) Write(p []byte) (int, error) {
	err := f.fs.begin(opWrite)
	n := len(p)
	if err != nil {
		n /= 2
	}
	start := len(f.node.content)
	f.node.content = append(f.node.content, p[:n]...)
	f.node.unsynced = append(f.node.unsynced, unsyncedWrite{start: start, end: start + n})
	return n, err
}

func (f *fakeFile) Truncate(size int64) error {
	if err := f.fs.begin(opTruncate); err != nil {
		return err
	}
	f.node.content = f.node.content[:size]
	return nil
}

func (f *fakeFile) Sync() error {
	if err := f.fs.begin(opSync); err != nil {
		return err
	}
	f.node.synced = slices.Clone(f.node.content)
	f.node.unsynced = nil
	return nil
}

func (f *fakeFile) Close() error { return nil }

// failFrom returns a fakeFS.fail that fails the n-th operation and all later ones.
func failFrom(n int, err error) func(int, operation) error {
	return func(i int, _ operation) error {
		if i >= n {
			return err
		}
		return nil
	}
}

// failEvery returns a fakeFS.fail that fails every operation of one kind.
func failEvery(op operation, err error) func(int, operation) error {
	return func(_ int, o operation) error {
		if o == op {
			return err
		}
		return nil
	}
}

var errNoSpace = unix.ENOSPC
