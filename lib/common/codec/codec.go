// Package codec provides the CBOR modes for records that every host must encode and decode alike.
package codec

import "github.com/fxamacker/cbor/v2"

// maxMapPairs bounds the pairs of a map; every record has fewer fields.
const maxMapPairs = 16

// Bounds limits the size of the data that a decoder accepts.
type Bounds struct {
	// Elements is the maximum number of elements of an array, Depth the maximum nesting level.
	Elements, Depth int
}

// Encoder returns the mode for the core deterministic encoding of CBOR: equal values are encoded as equal bytes.
func Encoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decoder returns a strict decoding mode. It rejects duplicate keys, unknown fields, tags and indefinite lengths, so that a
// record that one host rejects is rejected by every host.
func Decoder(b Bounds) cbor.DecMode { return decoder(b, cbor.ExtraDecErrorUnknownField) }

// TolerantDecoder returns a decoding mode that is like that of Decoder but ignores unknown fields, which a program of a later
// version may send.
func TolerantDecoder(b Bounds) cbor.DecMode { return decoder(b, cbor.ExtraDecErrorNone) }

func decoder(b Bounds, unknown cbor.ExtraDecErrorCond) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   b.Depth,
		MaxArrayElements:  b.Elements,
		MaxMapPairs:       maxMapPairs,
		ExtraReturnErrors: unknown,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
