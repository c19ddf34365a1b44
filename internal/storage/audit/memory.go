package audit

import (
	"errors"
	"io"
)

// Memory keeps the end of a chain for as long as the process lives.
type Memory struct {
	most    int
	records []*Record
	chain   Chain
}

// NewMemory keeps so many records at the most; older ones are forgotten.
func NewMemory(most int) *Memory { return &Memory{most: most} }

// Append fits a record to the chain. It sets Seq, Prev and Hash.
func (m *Memory) Append(r *Record) error {
	r.Seq, r.Prev = m.chain.Seq+1, m.chain.Hash
	r.Seal()
	if err := m.chain.Next(r); err != nil {
		return err
	}
	if len(m.records) == m.most {
		copy(m.records, m.records[1:])
		m.records = m.records[:m.most-1]
	}
	m.records = append(m.records, r)
	return nil
}

// Chain is where the chain ends.
func (m *Memory) Chain() Chain { return m.chain }

// Each calls f with those from number from on that are still known.
func (m *Memory) Each(from uint64, f func(*Record) error) error {
	for _, r := range m.records {
		if r.Seq < from {
			continue
		}
		if err := f(r); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
	return nil
}

// Close does nothing.
func (m *Memory) Close() error { return nil }
