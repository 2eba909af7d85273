package batch

import "verbenaledge.example/verbena/ids"

// Bitmap is the set of marked items of a job.
type Bitmap struct {
	words []uint64
	count int
}

// NewBitmap returns a bitmap for a number of items, with none marked.
func NewBitmap(items int) *Bitmap {
	return &Bitmap{words: make([]uint64, (items+63)/64)}
}

// Set marks an item and reports whether it was unmarked before. An item out of
// range is ignored.
func (b *Bitmap) Set(i ids.ItemIndex) (first bool) {
	w, bit := i/64, uint64(1)<<(i%64)
	if int(w) >= len(b.words) || b.words[w]&bit != 0 {
		return false
	}
	b.words[w] |= bit
	b.count++
	return true
}

// Has reports whether an item is marked.
func (b *Bitmap) Has(i ids.ItemIndex) bool {
	w := i / 64
	return int(w) < len(b.words) && b.words[w]&(uint64(1)<<(i%64)) != 0
}

// Count returns the number of marked items.
func (b *Bitmap) Count() int {
	return b.count
}
