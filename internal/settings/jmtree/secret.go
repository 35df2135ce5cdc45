package jmtree

import (
	"encoding/hex"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Secret is key material, written in hexadecimal. Its string forms hide it, so
// that logs and errors never contain a key.
type Secret []byte

// UnmarshalJSON reads hexadecimal digits.
func (s *Secret) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return eris.New("a secret is a string of hexadecimal digits")
	}
	raw, err := hex.DecodeString(text)
	if err != nil {
		return eris.New("a secret is a string of hexadecimal digits")
	}
	*s = raw
	return nil
}

// MarshalJSON writes hexadecimal digits.
func (s Secret) MarshalJSON() ([]byte, error) {
	return json.Marshal(hex.EncodeToString(s))
}

// String returns a placeholder without the secret's bytes.
func (s Secret) String() string { return "(secret)" }

// GoString returns the same as String.
func (s Secret) GoString() string { return s.String() }

// PrivateKey is a private key in PEM. Like those of Secret, its string forms hide it.
type PrivateKey string

// String returns a placeholder without the key.
func (PrivateKey) String() string { return "(secret)" }

// GoString returns the same as String.
func (k PrivateKey) GoString() string { return k.String() }
