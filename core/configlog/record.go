package configlog

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// EncodeChange returns the record of a change. It returns a *domain.Error of
// kind KindBadRequest for a malformed change or an empty id.
func EncodeChange(id string, c Change) (platform.Record, error) {
	if err := ValidateChange(c); err != nil {
		return platform.Record{}, err
	}
	return encode(id, ChangeType, c)
}

// EncodeSnapshot returns the snapshot record of a configuration that is in
// force; the record keeps c.Version. It returns a *domain.Error of kind
// KindBadRequest for a malformed configuration or an empty id.
func EncodeSnapshot(id string, c domain.Configuration) (platform.Record, error) {
	if err := validateConfiguration(c); err != nil {
		return platform.Record{}, err
	}
	return encode(id, SnapshotType, c)
}

func encode(id, kind string, value any) (platform.Record, error) {
	if id == "" {
		return platform.Record{}, invalidRecord("the record id is empty")
	}
	data, err := json.Marshal(value)
	if err != nil {
		return platform.Record{}, invalidRecord("the record cannot be written as JSON: " + err.Error())
	}
	return platform.Record{ID: id, Type: kind, Data: data}, nil
}

// decodeChange ignores unknown fields, so that nodes of two releases reach the
// same decision when the newer release adds an informational field.
func decodeChange(rec platform.Record) (Change, *domain.Error) {
	var c Change
	if err := decode(rec, &c); err != nil {
		return Change{}, err
	}
	return c, asDomainError(ValidateChange(c))
}

func decodeSnapshot(rec platform.Record) (domain.Configuration, *domain.Error) {
	var c domain.Configuration
	if err := decode(rec, &c); err != nil {
		return c, err
	}
	if c.Version >= domain.Version(rec.Offset) {
		return c, invalidRecord(fmt.Sprintf("the snapshot at offset %d has version %d, but its version must be below its offset", rec.Offset, c.Version))
	}
	return c, asDomainError(validateConfiguration(c))
}

func decode(rec platform.Record, value any) *domain.Error {
	if rec.ID == "" {
		return invalidRecord("the record id is empty")
	}
	if rec.Offset < firstOffset {
		return invalidRecord("the record has no offset")
	}
	if err := json.Unmarshal(rec.Data, value); err != nil {
		return invalidRecord("the record is not valid JSON: " + err.Error())
	}
	return nil
}

func asDomainError(err error) *domain.Error {
	if err == nil {
		return nil
	}
	return domain.AsError(err)
}

// withChange returns the configuration after an accepted change. It does not
// modify the slices of c.
func withChange(c domain.Configuration, change Change, rec platform.Record) domain.Configuration {
	c.Version = domain.Version(rec.Offset)
	c.AppendedAt = rec.AppendedAt
	switch {
	case change.Preset != nil:
		c.Preset = *change.Preset
	case change.TakeOut != nil:
		c.TakeOuts = withTakeOut(c, change)
	case change.BringBack != nil:
		c.TakeOuts = withoutTakeOut(c.TakeOuts, *change.BringBack)
	case change.Quota != nil:
		c.Quotas = withQuota(c.Quotas, *change.Quota)
	}
	return c
}

// withTakeOut adds a take-out. A domain that is already taken out keeps its first
// take-out, because that is when it stopped starting tasks.
func withTakeOut(c domain.Configuration, change Change) []domain.TakeOut {
	if c.TakenOut(*change.TakeOut) {
		return c.TakeOuts
	}
	t := domain.TakeOut{
		Domain:   *change.TakeOut,
		Since:    c.Version,
		Operator: change.Operator,
		Reason:   change.Reason,
	}
	i, _ := slices.BinarySearchFunc(c.TakeOuts, t, compareTakeOuts)
	return slices.Insert(slices.Clone(c.TakeOuts), i, t)
}

func withoutTakeOut(takeOuts []domain.TakeOut, d domain.FailureDomain) []domain.TakeOut {
	var kept []domain.TakeOut
	for _, t := range takeOuts {
		if t.Domain != d {
			kept = append(kept, t)
		}
	}
	return kept
}

func withQuota(quotas []domain.Quota, q domain.Quota) []domain.Quota {
	quotas = slices.Clone(quotas)
	i, found := slices.BinarySearchFunc(quotas, q, compareQuotas)
	if found {
		quotas[i] = q
		return quotas
	}
	return slices.Insert(quotas, i, q)
}

func compareTakeOuts(a, b domain.TakeOut) int {
	return strings.Compare(string(a.Domain), string(b.Domain))
}

func compareQuotas(a, b domain.Quota) int {
	return strings.Compare(string(a.Team), string(b.Team))
}

func cloneConfiguration(c domain.Configuration) domain.Configuration {
	c.TakeOuts = slices.Clone(c.TakeOuts)
	c.Quotas = slices.Clone(c.Quotas)
	return c
}
