package completion

// End is what is known about the end of a response's body. What follows from an end is decided by a type switch with a case
// for each of its types; nil means that the body hasn't ended.
type End interface{ end() }

// Whole is the end of a body of which all bytes have arrived, as its length or its last chunk shows.
type Whole struct{}

// Claimed is the end of a body that only an orderly close of the connection shows.
type Claimed struct{}

// BrokenOff is the end of a body of which something is missing, or that can't be used.
type BrokenOff struct{ Err error }

func (Whole) end()     {}
func (Claimed) end()   {}
func (BrokenOff) end() {}

// Body is the body of a response. The end of other bytes isn't taken for the end of a body, so it isn't an io.Reader.
type Body interface {
	// ReadBody reads up to len(p) bytes. Once it has returned an end, it isn't called again.
	ReadBody(p []byte) (n int, end End)
}
