package weightstore_test

import (
	"context"
	"testing"

	"gypsumbank/platform"
	"gypsumbank/weightstore"
)

// TestLoadsGoOnAfterAnotherWriterSpoiledTheRow guards against a record that no load can get past. As it is not known how many loads began,
// none may begin in the time that a full burst takes.
func TestLoadsGoOnAfterAnotherWriterSpoiledTheRow(t *testing.T) {
	const epochOfStore = `,"epoch":0}`
	cases := map[string]string{
		"empty": "", "not JSON": "\xff\x00", "null": "null", "a list": "[]", "nested": `{"whole-ms":[[[[]]]]}`, "too large": `{"whole-ms":1e400}`,
		"far ahead": `{"whole-ms":1e300` + epochOfStore, "an hour ahead": `{"whole-ms":3601000` + epochOfStore, "long ago": `{"whole-ms":-1e300` + epochOfStore, "of another epoch": `{"whole-ms":1e300,"epoch":9}`,
	}
	for name, value := range cases {
		t.Run(name, func(t *testing.T) {
			store, clock := newTestStore()
			if _, err := store.CompareAndSwap(context.Background(), platform.Row{Value: []byte(value)}); err != nil {
				t.Fatal(err)
			}
			budget := weightstore.New(store, "llm")
			early, loads := 0, 0
			for i := range 40 {
				if budget.Take(context.Background(), limit) == nil {
					loads++
					if i < 2 {
						early++
					}
				}
				clock.ms += 250
			}
			if loads < 14 {
				t.Errorf("%d loads in 10 s, want 14 or more at 2 a second", loads)
			}
			if known := name == "long ago" || name == "null" || name == "a list"; early > 0 && !known {
				t.Errorf("%d loads at once, although it is not known how many began before", early)
			}
		})
	}
}
