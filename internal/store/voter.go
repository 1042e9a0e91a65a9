// Package store keeps what must outlive a process. It knows bytes and records, and nothing of what they are about.
//
// Guarantees:
//
//  1. What a call has returned from without an error lasts, over a kill and a loss of power, as far as the disk
//     keeps its promise to sync.
//  2. A call that fails has changed nothing.
//  3. A file that was not made by Create is not opened, and one is never made over another.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"
)

// ErrNotFound tells that there is no file: it was never made, or is lost.
var ErrNotFound = errors.New("store: there is none")

// lockTime bounds the wait for another process that has the file.
const lockTime = time.Second

var (
	heads = []byte("heads") // by name
	log   = []byte("log")   // by number, big-endian
)

// Log is a file of numbered records and a few named ones. It is safe for concurrent use.
type Log struct{ db *bolt.DB }

// Change is what one Save does, all or nothing.
type Change struct {
	Named map[string][]byte // replaced
	// DropFrom, unless 0, drops the records of that number and above; Through those up to it.
	DropFrom, DropThrough uint64
	Records               []Record // added
}

// Record is a numbered one.
type Record struct {
	Index uint64
	Data  []byte
}

// Create makes a file, which must not be there.
func Create(path string, first Change) error {
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("store: %s is there already", path)
	}
	making := path + ".making"
	os.Remove(making)
	db, err := bolt.Open(making, 0o600, &bolt.Options{Timeout: lockTime})
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	l := &Log{db}
	err = db.Update(func(tx *bolt.Tx) error {
		_, a := tx.CreateBucket(heads)
		_, b := tx.CreateBucket(log)
		return errors.Join(a, b)
	})
	err = errors.Join(err, l.Save(first), l.Close())
	if err == nil {
		err = os.Rename(making, path) // whole or not at all
	}
	if err == nil {
		err = syncFolder(filepath.Dir(path))
	}
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Open opens a file that Create has made.
func Open(path string) (*Log, error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, path)
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTime})
	if err != nil {
		return nil, fmt.Errorf("store: %s: %w", path, err)
	}
	err = db.View(func(tx *bolt.Tx) error {
		if tx.Bucket(heads) == nil || tx.Bucket(log) == nil {
			return errors.New("it holds something else")
		}
		return nil
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("store: %s: %w", path, err)
	}
	return &Log{db}, nil
}

// Close ends the use of the file.
func (l *Log) Close() error { return l.db.Close() }

func key(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// Save makes a change last.
func (l *Log) Save(c Change) error {
	return l.db.Update(func(tx *bolt.Tx) error {
		for name, data := range c.Named {
			if err := tx.Bucket(heads).Put([]byte(name), data); err != nil {
				return err
			}
		}
		b := tx.Bucket(log)
		if c.DropFrom > 0 {
			if err := drop(b, key(c.DropFrom), nil); err != nil {
				return err
			}
		}
		if c.DropThrough > 0 {
			if err := drop(b, nil, key(c.DropThrough)); err != nil {
				return err
			}
		}
		for _, r := range c.Records {
			if err := b.Put(key(r.Index), r.Data); err != nil {
				return err
			}
		}
		return nil
	})
}

// drop deletes the records from one key on, or through another.
func drop(b *bolt.Bucket, from, through []byte) error {
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

// Load returns all that is kept, the records in order.
func (l *Log) Load() (named map[string][]byte, records []Record, err error) {
	named = make(map[string][]byte)
	err = l.db.View(func(tx *bolt.Tx) error {
		return errors.Join(tx.Bucket(heads).ForEach(func(k, v []byte) error {
			named[string(k)] = append([]byte(nil), v...)
			return nil
		}), tx.Bucket(log).ForEach(func(k, v []byte) error {
			if len(k) != 8 {
				return errors.New("store: a record without a number")
			}
			records = append(records, Record{binary.BigEndian.Uint64(k), append([]byte(nil), v...)})
			return nil
		}))
	})
	return named, records, err
}
