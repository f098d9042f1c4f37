package journaler

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Permissions of created folders and files.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// FS is the part of a file system that the journaler uses. Other implementations can wrap
// it to delay, count or fail operations.
type FS interface {
	// MakeFolder creates a folder and its parents if they do not exist.
	MakeFolder(path string) error
	// Create creates an empty file for writing, or truncates an existing one.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(path string) (File, error)
	// ReadFile returns the content of a file, or an error that wraps os.ErrNotExist if
	// it does not exist.
	ReadFile(path string) ([]byte, error)
	// Rename renames a file and atomically replaces an existing one of the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncFolder makes the entries of a folder durable.
	SyncFolder(path string) error
	// Lock locks a file against other processes until the returned Closer is closed. It
	// fails at once if another process holds the lock.
	Lock(path string) (io.Closer, error)
}

// File is an open file.
type File interface {
	io.WriteCloser
	// Truncate truncates the file to size bytes.
	Truncate(size int64) error
	// Sync makes the file's content durable.
	Sync() error
}

// OS is the operating system's file system.
type OS struct{}

// MakeFolder implements FS.
func (OS) MakeFolder(path string) error {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	return nil
}

// Create implements FS.
func (OS) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fmt.Errorf("create file: %w", err)
	}
	return f, nil
}

// OpenAppend implements FS.
func (OS) OpenAppend(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open file: %w", err)
	}
	return f, nil
}

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	return data, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error {
	if err := os.Rename(from, to); err != nil {
		return fmt.Errorf("rename file: %w", err)
	}
	return nil
}

// Remove implements FS.
func (OS) Remove(path string) error {
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("remove file: %w", err)
	}
	return nil
}

// SyncFolder implements FS.
func (OS) SyncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open folder: %w", err)
	}
	defer func() { _ = f.Close() }()
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}

// Lock implements FS.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open lock file: %w", err)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("lock %s: %w", path, err)
	}
	return f, nil
}

// isDiskFull reports whether err means that the disk is full or a quota is exceeded.
func isDiskFull(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}
