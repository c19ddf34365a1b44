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

// SecretPlaceholder replaces each secret in settings that are shown. In settings that are
// submitted it means the secret that the same user already has.
const SecretPlaceholder = "(kept)"

// ErrNoKey is returned if secrets are to be saved or sealed ones to be read without a key.
var ErrNoKey = errors.New("settings: CHAP secrets are only stored sealed, and there is no key: give the gateway a key file")

// SealError reports a sealed secret that can't be opened with the key.
type SealError struct{ User string }

func (e *SealError) Error() string {
	return fmt.Sprintf("settings: sealed secret of %q can't be opened with this key", e.User)
}

// Key seals secrets with AES-256-GCM (NIST SP 800-38D). The nonce is derived from user and
// secret, so that sealing is deterministic and an unchanged secret shows no difference.
// This reveals only that a user has the same secret as before.
type Key struct {
	aead     cipher.AEAD
	nonceKey []byte
}

// minKeyBytes is the least length of the bytes that a key is derived from.
const minKeyBytes = 32

// NewKey derives a key with HKDF (RFC 5869) from at least 32 random bytes.
func NewKey(from []byte) (*Key, error) {
	if len(from) < minKeyBytes {
		return nil, fmt.Errorf("settings: key is too short: want at least %d bytes, got %d", minKeyBytes, len(from))
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

// ReadKey reads a key file, which must be accessible to its owner only.
func ReadKey(file string) (*Key, error) {
	st, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if st.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("settings: key file %s is accessible to others than its owner (mode %v)", file, st.Mode().Perm())
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return NewKey(b)
}

const sealedPrefix = "sealed:"

// seal encrypts the secret of a user.
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

// cloneSecrets returns a copy of s whose secrets can be modified, with pointers to them:
// those of the clients first, then the mutual one.
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

// HasSecrets reports whether s has any secret.
func (s *Settings) HasSecrets() bool { return len(s.Target.Chap) > 0 || s.Target.Mutual != nil }

// Redacted returns a copy of s in which SecretPlaceholder replaces every secret.
func (s *Settings) Redacted() *Settings {
	c, at := s.cloneSecrets()
	for _, k := range at {
		k.Secret = SecretPlaceholder
	}
	return c
}

// withSealedSecrets returns a copy of s with its secrets sealed; those that are sealed
// already stay. Without a key placeholders replace them.
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

// unsealSecrets unseals secrets in place; s must not be in use elsewhere yet.
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

// fillPlaceholders returns a copy of s whose placeholders are replaced by the secrets of the
// same users in old.
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
