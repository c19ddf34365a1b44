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
func NewKey(material []byte) (*Key, error) {
	if len(material) < minKeyBytes {
		return nil, fmt.Errorf("settings: key is too short: want at least %d bytes, got %d", minKeyBytes, len(material))
	}
	derived, err := hkdf.Key(sha256.New, material, nil, "merlinhitch settings", 64)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(derived[:32])
	if err != nil {
		return nil, err
	}
	aead, err := cipher.NewGCM(block)
	return &Key{aead, derived[32:]}, err
}

// ReadKey reads a key file, which must be accessible to its owner only.
func ReadKey(file string) (*Key, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("settings: key file %s is accessible to others than its owner (mode %v)", file, info.Mode().Perm())
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
	clone := *s
	clone.Target.Chap = slices.Clone(s.Target.Chap)
	var secrets []*Chap
	for i := range clone.Target.Chap {
		secrets = append(secrets, &clone.Target.Chap[i])
	}
	if s.Target.Mutual != nil {
		m := *s.Target.Mutual
		clone.Target.Mutual = &m
		secrets = append(secrets, &m)
	}
	return &clone, secrets
}

// HasSecrets reports whether s has any secret.
func (s *Settings) HasSecrets() bool { return len(s.Target.Chap) > 0 || s.Target.Mutual != nil }

// Redacted returns a copy of s in which SecretPlaceholder replaces every secret.
func (s *Settings) Redacted() *Settings {
	clone, secrets := s.cloneSecrets()
	for _, secret := range secrets {
		secret.Secret = SecretPlaceholder
	}
	return clone
}

// withSealedSecrets returns a copy of s with its secrets sealed; those that are sealed
// already stay. Without a key placeholders replace them.
func (s *Settings) withSealedSecrets(k *Key) *Settings {
	clone, secrets := s.cloneSecrets()
	for _, secret := range secrets {
		switch {
		case strings.HasPrefix(secret.Secret, sealedPrefix):
		case k == nil:
			secret.Secret = SecretPlaceholder
		default:
			secret.Secret = k.seal(secret.User, secret.Secret)
		}
	}
	return clone
}

// unsealSecrets unseals secrets in place; s must not be in use elsewhere yet.
func (s *Settings) unsealSecrets(k *Key) error {
	clone, secrets := s.cloneSecrets()
	for _, secret := range secrets {
		if !strings.HasPrefix(secret.Secret, sealedPrefix) {
			continue
		}
		if k == nil {
			return ErrNoKey
		}
		plain, err := k.unseal(secret.User, secret.Secret)
		if err != nil {
			return err
		}
		secret.Secret = plain
	}
	s.Target = clone.Target
	return nil
}

// fillPlaceholders returns a copy of s whose placeholders are replaced by the secrets of the
// same users in old.
func (s *Settings) fillPlaceholders(old *Settings) *Settings {
	clone, secrets := s.cloneSecrets()
	for i, secret := range secrets {
		if secret.Secret != SecretPlaceholder || old == nil {
			continue
		}
		if i >= len(clone.Target.Chap) {
			if m := old.Target.Mutual; m != nil && m.User == secret.User {
				secret.Secret = m.Secret
			}
			continue
		}
		if j := slices.IndexFunc(old.Target.Chap, func(o Chap) bool { return o.User == secret.User }); j >= 0 {
			secret.Secret = old.Target.Chap[j].Secret
		}
	}
	return clone
}
