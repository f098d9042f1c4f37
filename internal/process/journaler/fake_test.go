package journaler_test

import (
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/banyanscale/banyanscale/internal/process/journaler"
)

var errIO = errors.New("input/output error")

// operation is one call to the fake file system that may fail.
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

// node is a file's content, as the process sees it and as the disk holds it.
type node struct{ content, synced []byte }

// fakeFS is a file system in memory that can fail and crash. A crash leaves of
// each file what was synced and part of what was not.
type fakeFS struct {
	names  map[string]*node // As the process sees them.
	synced map[string]*node // As the disk holds them.
	ops    int
	fail   func(n int, op operation) error // Decides on the n-th operation.
}

func newFakeFS() *fakeFS {
	return &fakeFS{names: make(map[string]*node), synced: make(map[string]*node)}
}

// crash returns the file system as the next process finds it. Of unsynced
// bytes at a file's end tail are left. Names that were not synced are kept if
// renames is true.
func (fs *fakeFS) crash(tail int, renames bool) *fakeFS {
	next := newFakeFS()
	names := fs.synced
	if renames {
		names = fs.names
	}
	for name, n := range names {
		content := slices.Clone(n.synced)
		if len(n.content) > len(n.synced) {
			content = append(content, n.content[len(n.synced):min(len(n.content), len(n.synced)+tail)]...)
		}
		after := &node{content: content, synced: content}
		next.names[name], next.synced[name] = after, after
	}
	return next
}

func (fs *fakeFS) step(op operation) error {
	fs.ops++
	if fs.fail == nil {
		return nil
	}
	return fs.fail(fs.ops, op)
}

func (fs *fakeFS) MakeFolder(string) error { return nil }

func (fs *fakeFS) Create(path string) (journaler.File, error) {
	if err := fs.step(opCreate); err != nil {
		return nil, err
	}
	fs.names[path] = &node{}
	return &fakeFile{fs: fs, node: fs.names[path]}, nil
}

func (fs *fakeFS) OpenAppend(path string) (journaler.File, error) {
	if err := fs.step(opOpen); err != nil {
		return nil, err
	}
	return &fakeFile{fs: fs, node: fs.names[path]}, nil
}

func (fs *fakeFS) ReadFile(path string) ([]byte, error) {
	if n, ok := fs.names[path]; ok {
		return slices.Clone(n.content), nil
	}
	return nil, os.ErrNotExist
}

func (fs *fakeFS) Rename(from, to string) error {
	if err := fs.step(opRename); err != nil {
		return err
	}
	fs.names[to] = fs.names[from]
	delete(fs.names, from)
	return nil
}

func (fs *fakeFS) Remove(path string) error {
	delete(fs.names, path)
	return nil
}

func (fs *fakeFS) SyncFolder(folder string) error {
	if err := fs.step(opSyncFolder); err != nil {
		return err
	}
	fs.synced = make(map[string]*node)
	for name, n := range fs.names {
		if filepath.Dir(name) == folder {
			fs.synced[name] = n
		}
	}
	return nil
}

func (fs *fakeFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type fakeFile struct {
	fs   *fakeFS
	node *node
}

// Write leaves half of the bytes behind when it fails.
func (f *fakeFile) Write(p []byte) (int, error) {
	err := f.fs.step(opWrite)
	n := len(p)
	if err != nil {
		n /= 2
	}
	f.node.content = append(f.node.content, p[:n]...)
	return n, err
}

func (f *fakeFile) Truncate(size int64) error {
	if err := f.fs.step(opTruncate); err != nil {
		return err
	}
	f.node.content = f.node.content[:size]
	return nil
}

func (f *fakeFile) Sync() error {
	if err := f.fs.step(opSync); err != nil {
		return err
	}
	f.node.synced = slices.Clone(f.node.content)
	return nil
}

func (f *fakeFile) Close() error { return nil }

// failAt fails the n-th operation and all later ones with err.
func failAt(n int, err error) func(int, operation) error {
	return func(i int, _ operation) error {
		if i >= n {
			return err
		}
		return nil
	}
}

// failOp fails every operation of one kind with err.
func failOp(op operation, err error) func(int, operation) error {
	return func(_ int, o operation) error {
		if o == op {
			return err
		}
		return nil
	}
}

var errFull = unix.ENOSPC
