package site

import (
	"encoding/json"
	"maps"
	"strings"
)

// OddEntry is an entry of the registry that another writer than a target has left.
type OddEntry struct {
	Key      string
	Value    []byte
	RawValue string // JSON in place of the encoded value, if not empty
}

// PutOdd writes an odd entry into the registry; it has the key unless the entry has one of its own.
func (s *Store) PutOdd(key string, entry OddEntry) {
	if entry.Key != "" {
		key = entry.Key
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(Row{Table: "servers", Key: key, Value: entry.Value, rawValue: entry.RawValue})
}

// maxManyBytes bounds the entries that PutOddEntries writes: a list of all large ones takes a reader's time for itself.
const maxManyBytes = 4096

// PutOddEntries writes an odd entry of each kind into the registry, without the large ones. But for what is odd in them, each equals
// sound.
func (s *Store) PutOddEntries(prefix string, sound map[string]any) {
	for kind, odd := range OddEntries(sound) {
		if len(odd.Value)+len(odd.RawValue) <= maxManyBytes {
			s.PutOdd(prefix+kind, odd)
		}
	}
}

// PutRaw writes a row with an empty part whose value is rawValue in all answers, in place of base64.
func (s *Store) PutRaw(table, part, key, rawValue string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(Row{Table: table, Part: part, Key: key, rawValue: rawValue})
}

// MarshalJSON encodes the row with its raw value in place of the encoded one, if it has one.
func (r Row) MarshalJSON() ([]byte, error) {
	type plainRow Row
	if r.rawValue == "" {
		return json.Marshal(plainRow(r))
	}
	return json.Marshal(struct {
		plainRow
		Value json.RawMessage `json:"value"`
	}{plainRow(r), json.RawMessage(r.rawValue)})
}

// oddDepth is more nesting than a JSON decoder of the standard library accepts.
const oddDepth = 12000

// maxDepth is the most nesting that an entry has room for.
const maxDepth = 32000

// oddTextBytes is the length of a text that takes up most of an entry.
const oddTextBytes = 60000

// OddEntries returns entries that name no target to use, by what is odd in them. But for that, each equals sound.
func OddEntries(sound map[string]any) map[string]OddEntry {
	odd := map[string]OddEntry{}
	for name, values := range oddFields {
		for variant, value := range values {
			odd[name+" is "+variant] = OddEntry{Value: withField(sound, name, value)}
		}
	}
	for name, value := range oddDocuments {
		odd["value is "+name] = OddEntry{Value: []byte(value)}
	}
	for name, raw := range oddRawValues {
		odd["row has "+name] = OddEntry{RawValue: raw}
	}
	encoded, _ := json.Marshal(sound) // a map of plain values
	for name, key := range oddKeys {
		odd["key has "+name] = OddEntry{Key: key, Value: encoded}
	}
	odd["address comes twice"] = OddEntry{Value: []byte(strings.TrimSuffix(string(encoded), "}") + `,"address":"127.0.0.1:99999"}`)}
	odd["bytes are no UTF-8"] = OddEntry{Value: withField(sound, "version", "\"v\xff\xfe\"")}
	return odd
}

// withField returns the encoded entry with another value of a field, given as JSON.
func withField(sound map[string]any, name, value string) []byte {
	rest := maps.Clone(sound)
	delete(rest, name)
	encoded, _ := json.Marshal(rest) // a map of plain values
	return []byte(strings.TrimSuffix(string(encoded), "}") + `,"` + name + `":` + value + "}")
}

var (
	oddNumbers = map[string]string{
		"1e400": "1e400", "-1e400": "-1e400", "1e99999999999": "1e99999999999", "above 64 bits": "99999999999999999999",
		"a text": `"4"`, "a list": "[4]", "an object": `{"a":4}`, "true": "true", "deeply nested": nested(oddDepth), "nested": nested(oddDepth / 10),
	}
	oddTexts = map[string]string{
		"a number": "4", "a list": `["a"]`, "an object": "{}", "null": "null", "empty": `""`, "true": "true", "deeply nested": nested(oddDepth),
		"nested": nested(oddDepth / 10), "very long": `"` + strings.Repeat("x", oddTextBytes) + `"`, "with a line break": `"a\r\nb"`,
	}
	oddFields = map[string]map[string]string{
		"service": oddTexts,
		"zone":    oddTexts,
		"state":   with(oddTexts, map[string]string{"unknown": `"sleeping"`}),
		"address": with(oddTexts, map[string]string{
			"without a port": `"127.0.0.1"`, "with port 0": `"127.0.0.1:0"`, "with a negative port": `"127.0.0.1:-1"`, "with port 65536": `"127.0.0.1:65536"`,
			"with a huge port": `"127.0.0.1:99999999999"`, "with a port in words": `"127.0.0.1:http"`, "a host name": `"localhost:80"`, "with a space": `" 127.0.0.1:80"`,
			"with a zone": `"[fe80::1%a\r\nX-Smuggled: 1]:80"`, "unspecified": `"0.0.0.0:80"`, "unspecified, IPv6": `"[::]:80"`, "multicast": `"224.0.0.1:80"`,
			"broadcast": `"255.255.255.255:80"`, "with numbers too large": `"127.0.0.999:80"`, "two ports": `"127.0.0.1:80:80"`,
		}),
		"version": {
			"a number": "4", "a list": `["a"]`, "an object": "{}", "true": "true", "deeply nested": nested(oddDepth), "nested": nested(oddDepth / 10),
			"very long": `"` + strings.Repeat("x", oddTextBytes) + `"`,
		},
		"slots":    with(oddNumbers, map[string]string{"null": "null", "negative": "-1", "0": "0", "a fraction": "1.5", "above 32 bits": "5000000000", "2^63-1": "9223372036854775807"}),
		"sequence": with(oddNumbers, map[string]string{"null": "null", "a fraction": "1.5"}),
		"born":     with(oddNumbers, map[string]string{"a fraction": "1.5", "negative": "-1", "2^63-1": "9223372036854775807", "in nanoseconds": "1796461000000000000"}),
		"coldRemainingMs": with(oddNumbers, map[string]string{
			"1e300": "1e300", "-1e300": "-1e300",
		}),
		"remainingMs": with(oddNumbers, map[string]string{"1e300": "1e300", "-1e300": "-1e300"}),
		"models": {
			"a text": `"m1"`, "a number": "1", "an object": `{"name":"m1"}`, "a list of texts": `["m1"]`, "a list of numbers": "[1]",
			"with a version too large": `[{"name":"m1","version":1e400}]`, "with nested adapters": `[{"name":"m1","adapters":` + nested(oddDepth) + `}]`,
			"deeply nested": nested(oddDepth), "nested": nested(oddDepth / 10),
		},
	}
	oddDocuments = map[string]string{
		"empty": "", "null": "null", "a list": "[]", "a text": `"entry"`, "a number": "7", "1e400": "1e400", "NaN": "NaN", "not JSON": "\x00\x01\xff", "cut off": `{"service":"pl`,
		"a nested list": nested(maxDepth), "an object without fields": "{}", "nested objects": strings.Repeat(`{"a":`, oddDepth/10) + "1" + strings.Repeat("}", oddDepth/10),
		"open brackets": strings.Repeat("[", oddTextBytes), "with NaN": `{"service":"plain","slots":NaN}`, "with an infinite number": `{"service":"plain","slots":Infinity}`,
	}
	oddRawValues = map[string]string{
		"a value that is no base64": `"%%%"`, "a value cut off": `"eyJzZXJ2aWNl"`, "a value of wrong length": `"eyJzZXJ2aWN"`, "a number": "7", "a number too large": "1e400", "null": "null", "a list": `["a"]`,
		"an object": `{"service":"plain"}`, "true": "true", "a nested value": nested(oddDepth / 10), "an empty value": `""`, "an escaped value": `"\u0025\ud800"`,
	}
	oddKeys = map[string]string{
		"line breaks": "i-1\r\nX-Smuggled: 1", "a request": "i-1\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n", "a space": "i 1", "a zero byte": "i\x00", "a control character": "i\x7f",
		"a replacement character": "i\ufffd",
	}
)

// nested returns a list nested to a depth.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// with returns the variants in both maps.
func with(variants, more map[string]string) map[string]string {
	all := maps.Clone(variants)
	maps.Copy(all, more)
	return all
}
