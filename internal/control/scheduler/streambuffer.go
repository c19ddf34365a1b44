package scheduler

// streamBuffer holds bytes of a stream that have been read and not consumed. Its storage is counted in
// a budget. It is used by one goroutine.
type streamBuffer struct {
	budget  *byteBudget
	storage []byte // consumed bytes come first
	start   int    // index of the first byte that is not consumed
	// handedOut is the number of bytes before start that were handed out last, and still are in
	// the storage.
	handedOut int
}

// minCompactBytes is the least storage that is replaced when half of it is consumed.
const minCompactBytes = 8 << 10

func (b *streamBuffer) len() int { return len(b.storage) - b.start }

// bytes returns the held bytes. They are valid until the next call of another method.
func (b *streamBuffer) bytes() []byte { return b.storage[b.start:] }

// append adds data.
func (b *streamBuffer) append(data []byte) {
	if len(b.storage)+len(data) > cap(b.storage) {
		needed := b.len() + len(data)
		if cap(b.storage) > 0 {
			needed += needed / 4
		}
		b.setStorage(append(make([]byte, 0, needed), b.bytes()...))
	}
	b.storage = append(b.storage, data...)
}

// setStorage replaces the storage by one that begins with the first held byte.
func (b *streamBuffer) setStorage(storage []byte) {
	b.budget.add(cap(storage) - cap(b.storage))
	b.storage, b.start, b.handedOut = storage, 0, 0
}

// consume hands out held bytes.
func (b *streamBuffer) consume(destination []byte) int {
	n := copy(destination, b.bytes())
	b.start += n
	b.handedOut += n
	switch {
	case b.len() == 0:
		b.setStorage(nil)
	case b.start > cap(b.storage)/2 && cap(b.storage) >= minCompactBytes:
		b.setStorage(append(make([]byte, 0, b.len()), b.bytes()...))
	}
	return n
}

// putBack makes data, which was handed out last, held again.
func (b *streamBuffer) putBack(data []byte) {
	if len(data) <= b.handedOut {
		b.start -= len(data)
		b.handedOut -= len(data)
		return
	}
	b.setStorage(append(append(make([]byte, 0, len(data)+b.len()), data...), b.bytes()...))
}

// cut removes the held bytes from index from to index to.
func (b *streamBuffer) cut(from, to int) {
	held := b.bytes()
	kept := from + copy(held[from:], held[to:])
	b.storage = b.storage[:b.start+kept]
	if kept == 0 {
		b.setStorage(nil)
	}
}
