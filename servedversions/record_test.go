package servedversions_test

import (
	"errors"
	"testing"

	"gypsumbank/registry"
	"gypsumbank/servedversions"
)

// TestRowsThatProveNothing guards against conclusions from a row that another writer has spoiled, that a later release has written, or that
// was written before the store came back from an older copy.
func TestRowsThatProveNothing(t *testing.T) {
	cases := map[string]string{
		"empty":                   ``,
		"no JSON":                 `{"format":1`,
		"a list":                  `[1]`,
		"later format":            `{"format":2,"epoch":1,"services":{}}`,
		"earlier epoch":           `{"format":1,"epoch":0,"services":{}}`,
		"later epoch":             `{"format":1,"epoch":2,"services":{}}`,
		"service without version": `{"format":1,"epoch":1,"services":{"llm":{"since-ms":5}}}`,
		"since is to come":        `{"format":1,"epoch":1,"services":{"llm":{"since-ms":101,"gone-ms":{"v1":0}}}}`,
		"gone is to come":         `{"format":1,"epoch":1,"services":{"llm":{"since-ms":5,"gone-ms":{"v1":101}}}}`,
		"gone is negative":        `{"format":1,"epoch":1,"services":{"llm":{"since-ms":5,"gone-ms":{"v1":-1}}}}`,
		"since is negative":       `{"format":1,"epoch":1,"services":{"llm":{"since-ms":-5,"gone-ms":{"v1":0}}}}`,
	}
	for name, value := range cases {
		t.Run(name, func(t *testing.T) {
			record, err := servedversions.Decode([]byte(value), 1, 100)
			if !errors.Is(err, servedversions.ErrInvalid) || len(record.Proofs(100)) > 0 {
				t.Errorf("record %+v, %v", record, err)
			}
		})
	}
	sound := `{"format":1,"epoch":1,"services":{"llm":{"since-ms":5,"gone-ms":{"v1":0,"v0":60}}},"later":true}`
	record, err := servedversions.Decode([]byte(sound), 1, 100)
	if err != nil || !record.Serves(servedversions.Key{Service: "llm", Version: "v1"}) || len(record.Proofs(100)["llm"].Left) != 2 {
		t.Errorf("record %+v, %v", record, err)
	}
}

// TestServicesWithoutVersionsAreNotListed guards against calls of the store for services whose targets name no software version.
func TestServicesWithoutVersionsAreNotListed(t *testing.T) {
	targets := []registry.Target{{Service: "plain"}, {Service: "llm", SoftwareVersion: "v1"}, {Service: "llm"}}
	listing := servedversions.NewListing(targets)
	if len(listing) != 2 || !listing[servedversions.Key{Service: "llm"}] {
		t.Errorf("listing %v", listing)
	}
}
