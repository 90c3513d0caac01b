package fleet

import (
	"cmp"
	"fmt"
)

// Position is a position in a stream of the store. The store counts the offsets of a stream anew from an earlier one when it is
// restored from a copy, which begins its next era; equal offsets of two eras name different records.
type Position struct {
	_ struct{} `cbor:",toarray"`
	// Era is the era of the store, counted from 1. It is 0 if it is not known: the store or the host that gave the position does
	// not tell it.
	Era int64
	// Offset is the offset after the last record up to the position.
	Offset int64
}

// At returns the position at an offset in an era.
func At(era, offset int64) Position { return Position{Era: era, Offset: offset} }

// WithOffset returns the position at another offset of the same era.
func (p Position) WithOffset(offset int64) Position {
	p.Offset = offset
	return p
}

// Compare returns -1 if p comes before other, 1 if it comes after it, and 0 if they are equal. All positions of an era come
// after those of the eras before.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Offset, other.Offset))
}

// After reports whether p comes after other.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }

// RestoredSince reports whether the store is known to have been restored between other and p.
func (p Position) RestoredSince(other Position) bool { return other.Era > 0 && p.Era > other.Era }

// String returns the position for errors.
func (p Position) String() string { return fmt.Sprintf("%d of era %d", p.Offset, p.Era) }

// Progress is how far a host knows a stream.
type Progress struct {
	_        struct{} `cbor:",toarray"`
	Position Position
	// Previous is the last position that the host, or one that it copied from, knew in an earlier era than that of Position. It is the
	// zero Position if none is known.
	Previous Position
}

// KnowsEarlier reports whether a host with progress p knows records of an earlier era, which the store has lost, that one with
// progress other does not know.
func (p Progress) KnowsEarlier(other Progress) bool {
	return p.Position.Era == other.Position.Era && p.Previous.After(other.Previous)
}

// EraError reports an answer of the store in the era Got, while the caller knows a position in the era Have.
type EraError struct{ Have, Got int64 }

// Error implements error.
func (e *EraError) Error() string {
	return fmt.Sprintf("answer of the store in era %d, while era %d is known", e.Got, e.Have)
}

// Restored reports whether the answer is of a later era: the store was restored from a copy. Else the answer is out of date.
func (e *EraError) Restored() bool { return e.Got > e.Have }
