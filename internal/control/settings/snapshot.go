package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"github.com/cespare/xxhash/v2"

	"merlinhitch/internal/storage/audit"
	"merlinhitch/internal/storage/durable"
)

// ErrNoSnapshot is returned by Load if the snapshot file does not exist.
var ErrNoSnapshot = errors.New("settings: no snapshot")

// DamagedError reports a snapshot that is damaged or does not fit its audit log. It is
// neither used in part nor overwritten by Open.
type DamagedError struct{ File, Reason string }

func (e *DamagedError) Error() string {
	return fmt.Sprintf("settings: snapshot %s is damaged: %s", e.File, e.Reason)
}

// StaleError reports a change that was made from a version which is no longer in force.
type StaleError struct {
	Against, InForce uint64
	// Theirs lists the changes accepted since; nil if the version is not in the audit log.
	Theirs []audit.Change `json:",omitempty"`
	// Collisions lists where the refused change collides with them. Without any it can be
	// merged.
	Collisions []audit.Collision `json:",omitempty"`
}

func (e *StaleError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings: change against version %d, version %d is in force", e.Against, e.InForce)
	for _, c := range e.Theirs {
		fmt.Fprintf(&b, "\n  since then %v", c)
	}
	for _, c := range e.Collisions {
		fmt.Fprintf(&b, "\n  collides at %s: yours %v, theirs %v", c.Theirs.Path, c.Mine, c.Theirs)
	}
	if e.Theirs != nil && len(e.Collisions) == 0 {
		b.WriteString("\n  nothing collides: the change can be merged")
	}
	return b.String()
}

const snapshotMagic = "merlinhitch-settings"

// Load reads a snapshot and unseals its secrets with the key. Without a key, sealed
// secrets are ErrNoKey.
func Load(file string, k *Key) (*Settings, error) {
	b, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNoSnapshot
	}
	if err != nil {
		return nil, err
	}
	header, body, ok := bytes.Cut(b, []byte("\n"))
	var checksum uint64
	var size int
	if !ok {
		return nil, &DamagedError{file, "no header line"}
	}
	if _, err := fmt.Sscanf(string(header), snapshotMagic+" 1 %d %x", &size, &checksum); err != nil {
		return nil, &DamagedError{file, "malformed header line"}
	}
	if len(body) != size {
		return nil, &DamagedError{file, fmt.Sprintf("got %d bytes, want %d", len(body), size)}
	}
	if xxhash.Sum64(body) != checksum {
		return nil, &DamagedError{file, "checksum does not match"}
	}
	s, err := Parse(bytes.NewReader(body))
	if err != nil {
		return nil, &DamagedError{file, err.Error()}
	}
	return s, s.unsealSecrets(k)
}

// Save replaces the snapshot atomically: a reader, also after a crash at any point, finds
// the old or the new one complete. Secrets are sealed with the key.
func Save(file string, s *Settings, k *Key) error {
	if s.HasSecrets() && k == nil {
		return ErrNoKey
	}
	body, err := json.MarshalIndent(s.withSealedSecrets(k), "", " ")
	if err != nil {
		return err
	}
	body = append(body, '\n')
	header := fmt.Sprintf("%s 1 %d %016x\n", snapshotMagic, len(body), xxhash.Sum64(body))
	return durable.Replace(file, 0o600, func(f *os.File) error {
		_, err := f.Write(append([]byte(header), body...))
		return err
	})
}
