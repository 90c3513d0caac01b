// Package orgs holds the organisations of a configuration and finds them by their clients' keys.
package orgs

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// HashPrefix marks the text form of a key's hash; its 16 bytes follow it in base64 (RFC 4648, section 5, without padding). No key of a configuration may begin with it.
const HashPrefix = "sha256/128:"

// MaxNameBytes bounds the name of an organisation, in bytes. Hosts send names to each other in datagrams and to upstreams in
// a header.
const MaxNameBytes = 256

// keyHashSize is the size of a KeyHash in bytes. The text of a whole hash is three times as long as a key, so that configurations
// no longer fit a datagram between hosts; 16 bytes are enough to tell keys apart.
const keyHashSize = 16

// KeyHash is the beginning of the SHA-256 hash of a key.
type KeyHash [keyHashSize]byte

// HashKey returns the hash of a client's key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(sum[:keyHashSize])
}

// ParseKey returns the hash of a key of a configuration, which is the key itself or the text of its hash. The error is a
// KeyError if the key is empty or begins like the text of a hash but isn't one.
func ParseKey(text string) (KeyHash, error) {
	digits, ok := strings.CutPrefix(text, HashPrefix)
	if !ok {
		if text == "" {
			return KeyHash{}, &KeyError{"empty"}
		}
		return HashKey(text), nil
	}
	hash, err := base64.RawURLEncoding.Strict().DecodeString(digits)
	if err != nil || len(hash) != keyHashSize {
		return KeyHash{}, &KeyError{"not a hash of 16 bytes in base64 after " + HashPrefix}
	}
	return KeyHash(hash), nil
}

// String returns the text form of the hash, which ParseKey accepts.
func (k KeyHash) String() string { return HashPrefix + base64.RawURLEncoding.EncodeToString(k[:]) }

// KeyError reports an invalid key. It doesn't contain the key.
type KeyError struct{ Problem string }

// Error implements error.
func (e *KeyError) Error() string { return "invalid key: " + e.Problem }

// InvalidError reports an invalid organisation and why it is invalid.
type InvalidError struct{ Organisation, Problem string }

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid organisation %q: %s", e.Organisation, e.Problem)
}

// Organisation is a customer whose clients identify themselves by one of its keys. It must not be changed.
type Organisation struct {
	Name string
	// Keys may be empty: no client can act for the organisation then.
	Keys []KeyHash
	// Priority takes precedence over the priority of a route unless it is nil. 0 is the most urgent.
	Priority *int
	// Rate is the limit of requests per second and Burst how many may come at once. Zero means no limit.
	Rate, Burst float64
}

// Table is an immutable set of organisations, each with a name and with keys of its own. It is safe for concurrent use.
type Table struct {
	all    []*Organisation // sorted by name
	byName map[string]*Organisation
	byKey  map[KeyHash]*Organisation
}

// New returns a table of organisations. The error is an InvalidError for the first invalid one.
func New(organisations []Organisation) (*Table, error) {
	t := &Table{
		byName: make(map[string]*Organisation, len(organisations)),
		byKey:  make(map[KeyHash]*Organisation, len(organisations)),
	}
	for _, o := range organisations {
		o.Keys = slices.Clone(o.Keys)
		if err := o.check(); err != nil {
			return nil, err
		}
		if _, ok := t.byName[o.Name]; ok {
			return nil, &InvalidError{o.Name, "name is used twice"}
		}
		for _, k := range o.Keys {
			if other, ok := t.byKey[k]; ok && other.Name != o.Name {
				return nil, &InvalidError{o.Name, fmt.Sprintf("shares a key with organisation %q", other.Name)}
			}
			t.byKey[k] = &o
		}
		t.byName[o.Name] = &o
		t.all = append(t.all, &o)
	}
	slices.SortFunc(t.all, func(a, b *Organisation) int { return strings.Compare(a.Name, b.Name) })
	return t, nil
}

// check returns an InvalidError if o is invalid by itself.
func (o *Organisation) check() error {
	switch {
	case o.Name == "":
		return &InvalidError{o.Name, "name is empty"}
	case !validName(o.Name):
		return &InvalidError{o.Name, "name is too long, or not valid as the value of a header"}
	case slices.Contains(o.Keys, HashKey("")):
		return &InvalidError{o.Name, "key is empty"}
	case o.Priority != nil && (*o.Priority < 0 || *o.Priority > math.MaxInt32):
		return &InvalidError{o.Name, "priority is negative or too large"}
	case !(o.Rate >= 0) || math.IsInf(o.Rate, 0):
		return &InvalidError{o.Name, "rate is negative or not finite"}
	case !(o.Burst >= 0) || math.IsInf(o.Burst, 0):
		return &InvalidError{o.Name, "burst is negative or not finite"}
	}
	return nil
}

// validName reports whether an upstream and other hosts receive a name as it is: as the value of a header, a name with a
// control character is refused, and spaces around it are lost.
func validName(s string) bool {
	return len(s) <= MaxNameBytes && utf8.ValidString(s) && strings.TrimSpace(s) == s && !strings.ContainsFunc(s, unicode.IsControl)
}

// Lookup returns the organisation that a client's key belongs to. It compares only hashes, so that the time that it takes
// reveals nothing about the keys of the table.
func (t *Table) Lookup(key string) (*Organisation, bool) {
	o, ok := t.byKey[HashKey(key)]
	return o, ok
}

// Get returns the organisation with a name.
func (t *Table) Get(name string) (*Organisation, bool) {
	o, ok := t.byName[name]
	return o, ok
}

// All returns all organisations, sorted by name.
func (t *Table) All() []*Organisation { return slices.Clone(t.all) }
