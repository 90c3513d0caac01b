// Package codec provides the CBOR modes for records that several hosts must decode in the same way.
package codec

import "github.com/fxamacker/cbor/v2"

// maxMapPairs is above the number of fields of every record.
const maxMapPairs = 16

// Bounds limits what a decoder accepts.
type Bounds struct {
	// Elements is the most elements of an array, Depth the deepest nesting.
	Elements, Depth int
}

// Encoder returns the deterministic encoding.
func Encoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decoder returns a strict decoding: a record that one host refuses is refused by every host.
func Decoder(b Bounds) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   b.Depth,
		MaxArrayElements:  b.Elements,
		MaxMapPairs:       maxMapPairs,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
