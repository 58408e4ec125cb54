package table

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"io"

	"github.com/go-faster/errors"
)

const (
	keyPrefix      = "wk_"
	keyRandomBytes = 24
)

// NewKey draws a key and returns its text and its sum.
func NewKey(random io.Reader) (key string, sum [32]byte, err error) {
	b := make([]byte, keyRandomBytes)
	if _, err := io.ReadFull(random, b); err != nil {
		return "", sum, errors.Wrap(err, "table: draw a key")
	}
	key = keyPrefix + base64.RawURLEncoding.EncodeToString(b)
	return key, KeySum(key), nil
}

// KeySum returns the sum by which a key is known.
func KeySum(key string) [32]byte { return sha256.Sum256([]byte(key)) }

// FormatSum returns the form in which the table holds the sum of a key.
func FormatSum(sum [32]byte) string { return sumPrefix + hex.EncodeToString(sum[:]) }
