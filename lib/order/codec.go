package order

import (
	"strconv"
	"strings"
	"time"

	"sardinecross.example/lib/common/codec"
	"sardinecross.example/lib/common/ident"
)

// Limits of a record.
const (
	// MaxBatch is the largest number of claims and releases in one record.
	MaxBatch = 256
	// MaxKey is the longest key, scope included.
	MaxKey = 512
	// MaxRecord is above the size of a full batch of the longest keys (138 KiB).
	MaxRecord = 256 << 10
)

// wireBatch is one record: what one incarnation claims and releases. Releases take effect before claims.
type wireBatch struct {
	Incarnation uint64      `cbor:"incarnation"`
	Releases    []wireClaim `cbor:"releases,omitempty"`
	Claims      []wireClaim `cbor:"claims,omitempty"`
}

type wireClaim struct {
	_   struct{} `cbor:",toarray"`
	Key string
	// ID numbers the claims of one incarnation.
	ID uint64
}

var (
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Bounds{Elements: MaxBatch, Depth: 4})
)

func encode(w wireBatch) []byte {
	data, err := encMode.Marshal(w)
	if err != nil {
		// The wire types hold only plain values, which the encoder always accepts.
		panic(err)
	}
	return data
}

func decode(data []byte) (wireBatch, error) {
	var w wireBatch
	if len(data) > MaxRecord {
		return w, &RecordError{Problem: "too large"}
	}
	if err := decMode.Unmarshal(data, &w); err != nil {
		return w, &RecordError{Problem: "cannot be decoded", Err: err}
	}
	if w.Incarnation == 0 {
		return w, &RecordError{Problem: "no incarnation"}
	}
	if len(w.Claims)+len(w.Releases) > MaxBatch {
		return w, &RecordError{Problem: "too many claims"}
	}
	for _, list := range [][]wireClaim{w.Releases, w.Claims} {
		for _, c := range list {
			if c.Key == "" || len(c.Key) > MaxKey || c.ID == 0 {
				return w, &RecordError{Problem: "bad claim"}
			}
		}
	}
	return w, nil
}

// tokenText is the text form of an issued ID: incarnation, random number and expiry on the issuer's clock.
func tokenText(n ident.Incarnation, rnd uint64, expires time.Duration) string {
	return strconv.FormatUint(uint64(n), 16) + "." + strconv.FormatUint(rnd, 16) + "." + strconv.FormatInt(int64(expires), 16)
}

// parseToken accepts only what tokenText returns.
func parseToken(text string) (n ident.Incarnation, rnd uint64, expires time.Duration, ok bool) {
	if len(text) > 3*16+2 {
		return 0, 0, 0, false
	}
	parts := strings.Split(text, ".")
	if len(parts) != 3 {
		return 0, 0, 0, false
	}
	var values [3]uint64
	for i, part := range parts {
		v, err := strconv.ParseUint(part, 16, 64)
		if err != nil {
			return 0, 0, 0, false
		}
		values[i] = v
	}
	n, rnd, expires = ident.Incarnation(values[0]), values[1], time.Duration(values[2])
	return n, rnd, expires, n != 0 && expires >= 0 && tokenText(n, rnd, expires) == text
}
