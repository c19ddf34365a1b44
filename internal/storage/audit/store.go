package audit

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"go.etcd.io/bbolt"

	"merlinhitch/internal/storage/durable"
)

// DoubtError says that an append failed on its way to the disk: whether the record stands is
// not known, and the store takes nothing more until it is opened anew.
type DoubtError struct{ Err error }

func (e *DoubtError) Error() string {
	return "audit: whether the record stands is not known, the store must be opened anew: " + e.Err.Error()
}

// Unwrap returns the disk's error.
func (e *DoubtError) Unwrap() error { return e.Err }

// Store keeps a chain of records in one file. An appended record is on the disk when
// Append returns without an error; after a crash at any point it is there whole or not
// at all.
type Store struct {
	db    *bbolt.DB
	chain Chain
	bad   error // of an append whose outcome is unknown: nothing more is taken
}

var recordBucket = []byte("records")

// lockWait is how long another process may hold the file before that is said.
const lockWait = 2 * time.Second

// OpenStore opens the chain in a file, which is made if there is none, and verifies it
// from its first record on. A chain that is broken is a *BrokenError.
func OpenStore(file string) (*Store, error) {
	db, err := openFile(file)
	if err != nil {
		return nil, err
	}
	s := &Store{db: db}
	if err = s.found(); err == nil {
		err = s.Each(1, func(r *Record) error { return s.chain.Next(r) })
	}
	if err != nil {
		db.Close()
		return nil, err
	}
	return s, nil
}

func openFile(file string) (*bbolt.DB, error) {
	db, err := bbolt.Open(file, 0o600, &bbolt.Options{Timeout: lockWait, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, fmt.Errorf("audit: %s: %w", file, err)
	}
	return db, nil
}

// Rewrite writes a store's file anew, whole and synced, in place of what it holds. After a
// failed sync the system may take pages for written that are not; a chain that goes on from
// there must not rest on them. The file must be open nowhere. After an error the old file is
// as it was.
func Rewrite(file string) error {
	db, err := openFile(file)
	if err != nil {
		return err
	}
	defer db.Close()
	return db.View(func(tx *bbolt.Tx) error {
		return durable.Replace(file, 0o600, func(f *os.File) error {
			_, err := tx.WriteTo(f)
			return err
		})
	})
}

// found makes the place of the records where the file is new.
func (s *Store) found() error {
	there := false
	err := s.db.View(func(tx *bbolt.Tx) error {
		there = tx.Bucket(recordBucket) != nil
		return nil
	})
	if there || err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucket(recordBucket)
		return err
	})
}

// Close lets go of the store.
func (s *Store) Close() error { return s.db.Close() }

// Chain is where the chain ends.
func (s *Store) Chain() Chain { return s.chain }

func keyOf(seq uint64) []byte { return binary.BigEndian.AppendUint64(nil, seq) }

// Append fits a record to the chain and keeps it. It sets Seq, Prev and Hash. After an
// error of the disk the store takes nothing more until it is opened anew: whether that
// record stands is not known before.
func (s *Store) Append(r *Record) error {
	if s.bad != nil {
		return s.bad
	}
	if len(r.Who) > MaxText || len(r.Why) > MaxText {
		return fmt.Errorf("audit: who and why have at most %d bytes", MaxText)
	}
	r.Seq, r.Prev = s.chain.Seq+1, s.chain.Hash
	r.Seal()
	next := s.chain
	if err := next.Next(r); err != nil {
		return err
	}
	b := r.Append(nil)
	if len(b) > MaxRecord {
		return fmt.Errorf("audit: a record of %d bytes, at most %d", len(b), MaxRecord)
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(recordBucket).Put(keyOf(r.Seq), b)
	})
	if err != nil {
		s.bad = &DoubtError{err}
		return s.bad
	}
	s.chain = next
	return nil
}

// Each calls f with the records from number from on, in order, until it returns an error
// or io.EOF, which ends it well. A record that can't be read is a *BrokenError.
func (s *Store) Each(from uint64, f func(*Record) error) error {
	err := s.db.View(func(tx *bbolt.Tx) error {
		at := tx.Bucket(recordBucket).Cursor()
		for k, v := at.Seek(keyOf(from)); k != nil; k, v = at.Next() {
			r, err := read(k, v)
			if err == nil {
				err = f(r)
			}
			if err != nil {
				return err
			}
		}
		return nil
	})
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func read(key, value []byte) (*Record, error) {
	if len(key) != 8 {
		return nil, &BrokenError{0, fmt.Sprintf("a key of %d bytes", len(key))}
	}
	seq := binary.BigEndian.Uint64(key)
	r, err := DecodeRecord(value)
	var broken *BrokenError
	switch {
	case errors.As(err, &broken):
		return nil, &BrokenError{seq, broken.Reason}
	case err != nil:
		return nil, &BrokenError{seq, "it can't be read"}
	case r.Seq != seq:
		return nil, &BrokenError{seq, fmt.Sprintf("it says that it is record %d", r.Seq)}
	}
	return r, nil
}
