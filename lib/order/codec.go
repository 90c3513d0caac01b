package order

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"sardinecross.example/lib/common/codec"
	"sardinecross.example/lib/common/ident"
)

// Bounds of a record of the stream of claims.
const (
	// MaxClaimsPerRecord is the largest number of claims and releases in one record.
	MaxClaimsPerRecord = 256
	// MaxKeyBytes is the largest length of a key, scope included.
	MaxKeyBytes = 512
	// MaxClaimRecordBytes is the largest size of a record that is decoded. A record of MaxClaimsPerRecord claims with
	// the longest keys takes 138 KiB.
	MaxClaimRecordBytes = 256 << 10
)

// claimRecord is one record of the stream of claims: the keys that one host incarnation claims and the claims that it
// releases. Releases take effect before claims.
type claimRecord struct {
	Incarnation uint64      `cbor:"incarnation"`
	Releases    []wireClaim `cbor:"releases,omitempty"`
	Claims      []wireClaim `cbor:"claims,omitempty"`
}

// wireClaim identifies one claim within a record.
type wireClaim struct {
	_   struct{} `cbor:",toarray"`
	Key string
	// Number is unique among the claims of one incarnation.
	Number uint64
}

var (
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Bounds{Elements: MaxClaimsPerRecord, Depth: 4})
)

func encodeRecord(w claimRecord) []byte {
	data, err := encMode.Marshal(w)
	if err != nil {
		// A claimRecord holds only integers, strings and slices of them, which the encoder always accepts.
		panic(err)
	}
	return data
}

func decodeRecord(data []byte) (claimRecord, error) {
	var w claimRecord
	if len(data) > MaxClaimRecordBytes {
		return w, &RecordError{Problem: fmt.Sprintf("%d bytes, the maximum is %d", len(data), MaxClaimRecordBytes)}
	}
	if err := decMode.Unmarshal(data, &w); err != nil {
		return w, &RecordError{Problem: "cannot be decoded", Err: err}
	}
	if w.Incarnation == 0 {
		return w, &RecordError{Problem: "incarnation is missing"}
	}
	if len(w.Claims)+len(w.Releases) > MaxClaimsPerRecord {
		return w, &RecordError{Problem: fmt.Sprintf("%d claims and %d releases, the maximum of both together is %d", len(w.Claims), len(w.Releases), MaxClaimsPerRecord)}
	}
	for _, list := range [][]wireClaim{w.Releases, w.Claims} {
		for _, c := range list {
			if c.Key == "" || len(c.Key) > MaxKeyBytes || c.Number == 0 {
				return w, &RecordError{Problem: fmt.Sprintf("claim number %d has a key of %d bytes; the number must be above 0 and the length 1 to %d", c.Number, len(c.Key), MaxKeyBytes)}
			}
		}
	}
	return w, nil
}

// formatToken returns the text of a token: incarnation of the issuer, random number and expiry on the issuer's clock,
// in hexadecimal.
func formatToken(n ident.Incarnation, rnd uint64, expires time.Duration) string {
	return strconv.FormatUint(uint64(n), 16) + "." + strconv.FormatUint(rnd, 16) + "." + strconv.FormatInt(int64(expires), 16)
}

// parseToken accepts only texts that formatToken returns.
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
	return n, rnd, expires, n != 0 && expires >= 0 && formatToken(n, rnd, expires) == text
}
