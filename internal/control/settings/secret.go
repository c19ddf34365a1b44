package settings

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

// SecretPlaceholder stands in place of a secret in all that leaves the process; handed in, it means
// the secret that the same user has already.
const SecretPlaceholder = "(kept)"

// ErrNoKey says that secrets are to be written and there is no key to seal them with, or
// sealed ones are to be read.
var ErrNoKey = errors.New("settings: CHAP secrets are only kept sealed, and there is no key: give the gateway a key file")

// SealError says that a sealed secret can't be opened with the key at hand.
type SealError struct{ User string }

func (e *SealError) Error() string {
	return fmt.Sprintf("settings: the sealed secret of %q does not open with this key", e.User)
}

// Key seals secrets: AES-256-GCM (NIST SP 800-38D) under a nonce that is made of the
// secret, so that the same secret looks the same and no difference is seen where there
// is none. Whoever reads the file learns only which secrets are equal.
type Key struct {
	aead     cipher.AEAD
	nonceKey []byte
}

// minKeyBytes is the fewest bytes that a key is derived from.
const minKeyBytes = 32

// NewKey derives a key (HKDF, RFC 5869) from bytes that nobody can guess.
func NewKey(from []byte) (*Key, error) {
	if len(from) < minKeyBytes {
		return nil, fmt.Errorf("settings: a key needs %d bytes, these are %d", minKeyBytes, len(from))
	}
	b, err := hkdf.Key(sha256.New, from, nil, "merlinhitch settings", 64)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(b[:32])
	if err != nil {
		return nil, err
	}
	aead, err := cipher.NewGCM(block)
	return &Key{aead, b[32:]}, err
}

// ReadKey reads a key file, which nobody but its owner may read.
func ReadKey(file string) (*Key, error) {
	st, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if st.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("settings: key file %s may be read by others (mode %v)", file, st.Mode().Perm())
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return NewKey(b)
}

const sealedPrefix = "sealed:"

// seal closes one secret of that user.
func (k *Key) seal(user, secret string) string {
	mac := hmac.New(sha256.New, k.nonceKey)
	mac.Write([]byte(user + "\x00" + secret))
	nonce := mac.Sum(nil)[:k.aead.NonceSize()]
	return sealedPrefix + base64.RawStdEncoding.EncodeToString(k.aead.Seal(nonce, nonce, []byte(secret), []byte(user)))
}

func (k *Key) unseal(user, text string) (string, error) {
	b, err := base64.RawStdEncoding.DecodeString(strings.TrimPrefix(text, sealedPrefix))
	if err != nil || len(b) < k.aead.NonceSize() {
		return "", &SealError{user}
	}
	n := k.aead.NonceSize()
	plain, err := k.aead.Open(nil, b[:n], b[n:], []byte(user))
	if err != nil {
		return "", &SealError{user}
	}
	return string(plain), nil
}

// cloneSecrets returns a copy of s whose cloneSecrets may be altered, and where they are.
func (s *Settings) cloneSecrets() (*Settings, []*Chap) {
	c := *s
	c.Target.Chap = slices.Clone(s.Target.Chap)
	var at []*Chap
	for i := range c.Target.Chap {
		at = append(at, &c.Target.Chap[i])
	}
	if s.Target.Mutual != nil {
		m := *s.Target.Mutual
		c.Target.Mutual = &m
		at = append(at, &m)
	}
	return &c, at
}

// HasSecrets tells whether there is any secret in s.
func (s *Settings) HasSecrets() bool { return len(s.Target.Chap) > 0 || s.Target.Mutual != nil }

// Redacted is s as it may be shown: no secret is in it, nor anything made of one.
func (s *Settings) Redacted() *Settings {
	c, at := s.cloneSecrets()
	for _, k := range at {
		k.Secret = SecretPlaceholder
	}
	return c
}

// withSealedSecrets is s with its secrets withSealedSecrets; those that already are stay. Without a key they
// are left out.
func (s *Settings) withSealedSecrets(k *Key) *Settings {
	c, at := s.cloneSecrets()
	for _, x := range at {
		switch {
		case strings.HasPrefix(x.Secret, sealedPrefix):
		case k == nil:
			x.Secret = SecretPlaceholder
		default:
			x.Secret = k.seal(x.User, x.Secret)
		}
	}
	return c
}

// unsealSecrets opens sealed secrets in place, of settings that nobody else has yet.
func (s *Settings) unsealSecrets(k *Key) error {
	c, at := s.cloneSecrets()
	for _, x := range at {
		if !strings.HasPrefix(x.Secret, sealedPrefix) {
			continue
		}
		if k == nil {
			return ErrNoKey
		}
		plain, err := k.unseal(x.User, x.Secret)
		if err != nil {
			return err
		}
		x.Secret = plain
	}
	s.Target = c.Target
	return nil
}

// fillPlaceholders fills in those secrets of s that stay what they are in old.
func (s *Settings) fillPlaceholders(old *Settings) *Settings {
	c, at := s.cloneSecrets()
	for i, x := range at {
		if x.Secret != SecretPlaceholder || old == nil {
			continue
		}
		if i >= len(c.Target.Chap) {
			if m := old.Target.Mutual; m != nil && m.User == x.User {
				x.Secret = m.Secret
			}
			continue
		}
		if j := slices.IndexFunc(old.Target.Chap, func(o Chap) bool { return o.User == x.User }); j >= 0 {
			x.Secret = old.Target.Chap[j].Secret
		}
	}
	return c
}
