package inifile

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// ErrInvalid is wrapped by every error about the content of a file.
var ErrInvalid = errors.New("invalid file")

// MaxBytes bounds the size of a file in bytes.
const MaxBytes = 4 << 20

const (
	addressAllowed   = "IP:PORT"
	addressesAllowed = "IP:PORT, separated by commas"
)

// File reads typed values from INI text and collects every problem that it meets.
type File struct {
	name     string
	ini      *ini.File
	known    map[string]map[string]Key
	problems []string
}

// Key describes a key that the reader of a file knows.
type Key struct {
	Section string
	Name    string
	Default string // empty if there is none
	Allowed string // in words
}

// New parses data, named name in errors, and returns an error that wraps ErrInvalid if the syntax is wrong.
func New(name string, data []byte) (*File, error) {
	if len(data) > MaxBytes {
		return nil, fmt.Errorf("%s: %d bytes, at most %d are allowed: %w", name, len(data), MaxBytes, ErrInvalid)
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:  true,
		AllowShadows:            true,
		KeyValueDelimiters:      "=",
		SkipUnrecognizableLines: false,
		IgnoreContinuation:      true,
		IgnoreInlineComment:     false,
	}, data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", name, err, ErrInvalid)
	}
	f := &File{name: name, ini: parsed, known: map[string]map[string]Key{}}
	f.findRepeats()
	return f, nil
}

// Err returns one error that names every problem found so far and every unknown section and key.
func (f *File) Err() error {
	problems := append([]string(nil), f.problems...)
	for _, section := range f.ini.Sections() {
		problems = append(problems, f.unknown(section)...)
	}
	if len(problems) == 0 {
		return nil
	}
	return fmt.Errorf("%s: %s: %w", f.name, strings.Join(problems, "; "), ErrInvalid)
}

// HasSection reports whether the section is present.
func (f *File) HasSection(section string) bool {
	_, err := f.ini.GetSection(section)
	return err == nil
}

// SectionNames returns the sorted names of the sections written as "[kind name]".
func (f *File) SectionNames(kind string) []string {
	var names []string
	for _, section := range f.ini.Sections() {
		prefix, name, found := strings.Cut(section.Name(), " ")
		if found && prefix == kind {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// AddProblem records that the value of a key is not allowed.
func (f *File) AddProblem(section, key, allowed string) {
	f.problems = append(f.problems, fmt.Sprintf("[%s] %s: %s", section, key, allowed))
}

// String returns the value of a key, or fallback if the key is absent.
func (f *File) String(section, key, fallback string) string {
	value, ok := f.value(Key{section, key, fallback, "text"})
	if !ok {
		return fallback
	}
	return value
}

// Required returns the value of a key and records a problem if it is empty.
func (f *File) Required(section, key, allowed string) string {
	value, _ := f.value(Key{section, key, "", allowed + "; required"})
	if value == "" {
		f.AddProblem(section, key, "is missing; allowed: "+allowed)
	}
	return value
}

// Choice returns the value of a key, which must be one of allowed.
func (f *File) Choice(section, key, fallback string, allowed ...string) string {
	value, ok := f.value(Key{section, key, fallback, strings.Join(allowed, ", ")})
	if !ok {
		return fallback
	}
	for _, candidate := range allowed {
		if value == candidate {
			return value
		}
	}
	f.AddProblem(section, key, fmt.Sprintf("%q is not allowed; allowed: %s", value, strings.Join(allowed, ", ")))
	return fallback
}

// Int returns a whole number within low and high, or fallback if the key is absent.
func (f *File) Int(section, key string, fallback, low, high int64) int64 {
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	text, ok := f.value(Key{section, key, strconv.FormatInt(fallback, 10), allowed})
	if !ok {
		return fallback
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < low || number > high {
		f.AddProblem(section, key, fmt.Sprintf("%q is not allowed; allowed: %s", text, allowed))
		return fallback
	}
	return number
}

// Float returns a number within low and high, or fallback if the key is absent.
func (f *File) Float(section, key string, fallback, low, high float64) float64 {
	allowed := fmt.Sprintf("a number from %g to %g", low, high)
	text, ok := f.value(Key{section, key, fmt.Sprintf("%g", fallback), allowed})
	if !ok {
		return fallback
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || !(number >= low && number <= high) {
		f.AddProblem(section, key, fmt.Sprintf("%q is not allowed; allowed: %s", text, allowed))
		return fallback
	}
	return number
}

// Duration returns a duration within low and high, or fallback if the key is absent.
func (f *File) Duration(section, key string, fallback, low, high time.Duration) time.Duration {
	allowed := fmt.Sprintf("a duration from %s to %s", low, high)
	text, ok := f.value(Key{section, key, fallback.String(), allowed})
	if !ok {
		return fallback
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < low || duration > high {
		f.AddProblem(section, key, fmt.Sprintf("%q is not allowed; allowed: %s", text, allowed))
		return fallback
	}
	return duration
}

// Address returns an IP address with a port, or fallback if the key is absent.
func (f *File) Address(section, key, fallback string) string {
	text, ok := f.value(Key{section, key, fallback, addressAllowed})
	if !ok {
		return fallback
	}
	if !validAddress(text) {
		f.AddProblem(section, key, fmt.Sprintf("%q is not allowed; allowed: %s", text, addressAllowed))
		return fallback
	}
	return text
}

// List returns the comma-separated values of a key.
func (f *File) List(section, key string) []string {
	return f.list(Key{section, key, "", "text, separated by commas"})
}

func (f *File) list(key Key) []string {
	text, _ := f.value(key)
	var items []string
	for _, item := range strings.Split(text, ",") {
		item = strings.TrimSpace(item)
		if item != "" {
			items = append(items, item)
		}
	}
	return items
}

// Addresses returns the comma-separated IP addresses with ports of a key.
func (f *File) Addresses(section, key string) []string {
	items := f.list(Key{section, key, "", addressesAllowed})
	for _, item := range items {
		if !validAddress(item) {
			f.AddProblem(section, key, fmt.Sprintf("%q is not allowed; allowed: %s", item, addressesAllowed))
		}
	}
	return items
}

func validAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number <= 65535
}

// value returns the value of a key, which is known from now on; a required key may be read again for its form.
func (f *File) value(key Key) (string, bool) {
	keys := f.known[key.Section]
	if keys == nil {
		keys = map[string]Key{}
		f.known[key.Section] = keys
	}
	if _, ok := keys[key.Name]; !ok {
		keys[key.Name] = key
	}
	found, err := f.ini.GetSection(key.Section)
	if err != nil || !found.HasKey(key.Name) {
		return "", false
	}
	return strings.TrimSpace(found.Key(key.Name).Value()), true
}

// Keys returns the keys that were read so far, in order of section and name.
func (f *File) Keys() []Key {
	var all []Key
	for _, keys := range f.known {
		all = slices.AppendSeq(all, maps.Values(keys))
	}
	slices.SortFunc(all, func(a, b Key) int {
		return cmp.Or(strings.Compare(a.Section, b.Section), strings.Compare(a.Name, b.Name))
	})
	return all
}

func (f *File) findRepeats() {
	seen := map[string]bool{}
	for _, section := range f.ini.Sections() {
		if seen[section.Name()] {
			f.problems = append(f.problems, fmt.Sprintf("[%s]: the section stands twice", section.Name()))
		}
		seen[section.Name()] = true
		for _, key := range section.Keys() {
			if len(key.ValueWithShadows()) > 1 {
				f.AddProblem(section.Name(), key.Name(), "the key stands twice")
			}
		}
	}
}

func (f *File) unknown(section *ini.Section) []string {
	keys, ok := f.known[section.Name()]
	if !ok && len(section.Keys()) == 0 && section.Name() == ini.DefaultSection {
		return nil
	}
	if !ok {
		return []string{fmt.Sprintf("[%s]: unknown section", section.Name())}
	}
	var problems []string
	for _, key := range section.Keys() {
		if _, ok := keys[key.Name()]; !ok {
			problems = append(problems, fmt.Sprintf("[%s] %s: unknown key; allowed: %s", section.Name(), key.Name(), sortedKeys(keys)))
		}
	}
	return problems
}

func sortedKeys(keys map[string]Key) string {
	return strings.Join(slices.Sorted(maps.Keys(keys)), ", ")
}
