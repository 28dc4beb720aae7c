package account

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/basilferry/basilferry/core/domain"
)

// Digest is the SHA-256 of an API key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// shortDigits is the number of hexadecimal digits of Short. They identify a key in a
// log without making it usable.
const shortDigits = 8

// Short returns the first digits of the digest, for logs.
func (d Digest) Short() string { return hex.EncodeToString(d[:])[:shortDigits] }

// Account is one client account.
type Account struct {
	Name string
	Keys []Digest
	// Weight is the share of the account when all capacity is in use, relative to the
	// other accounts. It is positive.
	Weight float64
	// Limit is what the account may have running over all workers; a resource of 0 has
	// no limit.
	Limit domain.Resources
}

// Conflict is a key that two accounts have. It belongs to Holder.
type Conflict struct {
	Key           Digest
	Holder, Other string
}

// Directory holds the accounts of one configuration. It is immutable. A nil Directory
// means that accounts are disabled.
type Directory struct {
	accounts []Account
	byName   map[string]int
	byKey    map[Digest]int
}

// NewDirectory returns the directory of the accounts, which are in the order of the
// configuration. The first account of a name, and the first one that has a key, is used.
func NewDirectory(accounts []Account) (*Directory, []Conflict) {
	d := &Directory{byName: map[string]int{}, byKey: map[Digest]int{}}
	var conflicts []Conflict
	for _, a := range accounts {
		if _, known := d.byName[a.Name]; known {
			continue
		}
		index := len(d.accounts)
		d.accounts = append(d.accounts, a)
		d.byName[a.Name] = index
		for _, key := range a.Keys {
			holder, taken := d.byKey[key]
			switch {
			case !taken:
				d.byKey[key] = index
			case holder != index:
				conflicts = append(conflicts, Conflict{Key: key, Holder: d.accounts[holder].Name, Other: a.Name})
			}
		}
	}
	return d, conflicts
}

// Lookup returns the name of the account that a key belongs to. Keys are compared by
// their digests, so the time of the call reveals nothing about them.
func (d *Directory) Lookup(key string) (name string, ok bool) {
	if d == nil || key == "" {
		return "", false
	}
	index, ok := d.byKey[DigestOf(key)]
	if !ok {
		return "", false
	}
	return d.accounts[index].Name, true
}

// Account returns the account with the given name.
func (d *Directory) Account(name string) (Account, bool) {
	if d == nil {
		return Account{}, false
	}
	index, ok := d.byName[name]
	if !ok {
		return Account{}, false
	}
	return d.accounts[index], true
}

// Accounts returns all accounts in the order of the configuration. The slice must not be
// changed.
func (d *Directory) Accounts() []Account {
	if d == nil {
		return nil
	}
	return d.accounts
}
