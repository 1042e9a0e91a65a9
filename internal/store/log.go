// Package store keeps what must outlive a process: a file of numbered records and a few named ones. It does not
// interpret the bytes of the records.
//
// Guarantees:
//
//  1. A change that was saved without an error survives the kill of the process and a power loss, provided that the
//     disk has written what it reports as synced.
//  2. A call that fails has changed nothing.
//  3. Open rejects a file that Create did not make, and Create does not replace an existing file.
//
// It does not repair files and keeps no copies. It starts no goroutines; a [Log] belongs to its caller until Close.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// ErrNotFound says that the file does not exist: it was never created, or was lost.
var ErrNotFound = errors.New("store: no such file")

// ErrLocked says that another process has the file open.
var ErrLocked = errors.New("store: file is locked by another process")

const (
	// lockTimeout limits the wait for another process to close the file.
	lockTimeout = time.Second
	fileMode    = 0o600
	// unfinishedSuffix is appended to the name of a file until Create has completed it.
	unfinishedSuffix = ".making"
)

// The buckets of a file.
var (
	namedBucket = []byte("heads") // named records, by name
	logBucket   = []byte("log")   // numbered records, by index, big-endian
)

// Log is an open file of numbered and named records. It is safe for concurrent use.
type Log struct{ db *bolt.DB }

// Change is a change to a file that [Log.Save] makes atomically, in the order of the fields.
type Change struct {
	// Named are the named records to add or replace.
	Named map[string][]byte
	// DropFrom, unless 0, deletes the records from that index on.
	DropFrom uint64
	// DropThrough, unless 0, deletes the records up to and including that index.
	DropThrough uint64
	// Records are the numbered records to add or replace.
	Records []Record
}

// Record is a numbered record.
type Record struct {
	Index uint64
	Data  []byte
}

// Create creates a file and saves a first change in it. It fails if the file already exists.
func Create(path string, first Change) error {
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("store: %s already exists", path)
	}
	unfinished := path + unfinishedSuffix
	os.Remove(unfinished) // a process that ended during Create may have left the file
	if err := createFile(unfinished, first); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := os.Rename(unfinished, path); err != nil { // renamed only now, so path is never an incomplete file
		return fmt.Errorf("store: %w", err)
	}
	if err := syncDirectory(filepath.Dir(path)); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

func createFile(path string, first Change) error {
	db, err := bolt.Open(path, fileMode, &bolt.Options{Timeout: lockTimeout})
	if err != nil {
		return err
	}
	l := &Log{db}
	err = db.Update(func(tx *bolt.Tx) error {
		_, namedErr := tx.CreateBucket(namedBucket)
		_, logErr := tx.CreateBucket(logBucket)
		return errors.Join(namedErr, logErr)
	})
	if err == nil {
		err = l.Save(first)
	}
	return errors.Join(err, l.Close())
}

// syncDirectory makes a rename in a directory durable.
func syncDirectory(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Open opens a file that Create has made. If there is none, the error is [ErrNotFound]; if another process does not
// close it within lockTimeout, [ErrLocked].
func Open(path string) (*Log, error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, path)
	}
	db, err := bolt.Open(path, fileMode, &bolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%w: %s", ErrLocked, path)
	}
	if err != nil {
		return nil, fmt.Errorf("store: %s: %w", path, err)
	}
	err = db.View(func(tx *bolt.Tx) error {
		if tx.Bucket(namedBucket) == nil || tx.Bucket(logBucket) == nil {
			return errors.New("not a store file: a bucket is missing")
		}
		return nil
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("store: %s: %w", path, err)
	}
	return &Log{db}, nil
}

// Close closes the file and releases its lock; another process can then open the file.
func (l *Log) Close() error { return l.db.Close() }

// Save makes a change durable. If it fails, the file is unchanged.
func (l *Log) Save(c Change) error {
	return l.db.Update(func(tx *bolt.Tx) error {
		for name, data := range c.Named {
			if err := tx.Bucket(namedBucket).Put([]byte(name), data); err != nil {
				return err
			}
		}
		records := tx.Bucket(logBucket)
		if c.DropFrom > 0 {
			if err := deleteRange(records, indexKey(c.DropFrom), nil); err != nil {
				return err
			}
		}
		if c.DropThrough > 0 {
			if err := deleteRange(records, nil, indexKey(c.DropThrough)); err != nil {
				return err
			}
		}
		for _, r := range c.Records {
			if err := records.Put(indexKey(r.Index), r.Data); err != nil {
				return err
			}
		}
		return nil
	})
}

// indexKey returns the key of a numbered record. Keys sort in the order of the indices.
func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// deleteRange deletes the records from one key through another, both included. A nil key leaves that end open.
func deleteRange(b *bolt.Bucket, from, through []byte) error {
	var keys [][]byte
	c := b.Cursor()
	for k, _ := c.Seek(from); k != nil && (through == nil || string(k) <= string(through)); k, _ = c.Next() {
		keys = append(keys, append([]byte(nil), k...))
	}
	for _, k := range keys {
		if err := b.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// Load returns all records, the numbered ones in order of index.
func (l *Log) Load() (named map[string][]byte, records []Record, err error) {
	named = make(map[string][]byte)
	err = l.db.View(func(tx *bolt.Tx) error {
		return errors.Join(
			tx.Bucket(namedBucket).ForEach(func(k, v []byte) error {
				named[string(k)] = append([]byte(nil), v...)
				return nil
			}),
			tx.Bucket(logBucket).ForEach(func(k, v []byte) error {
				if len(k) != 8 {
					return errors.New("store: the key of a numbered record is not 8 bytes long")
				}
				records = append(records, Record{binary.BigEndian.Uint64(k), append([]byte(nil), v...)})
				return nil
			}),
		)
	})
	return named, records, err
}
