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

// ErrInvalid is wrapped by all errors about the content of a file.
var ErrInvalid = errors.New("invalid file")

// MaxBytes is the largest accepted size of a file.
const MaxBytes = 4 << 20

// Descriptions of the accepted values in error messages and in the reference of settings.
const (
	addressAllowed   = "IP:PORT"
	addressesAllowed = "IP:PORT, separated by commas"
)

// File is a parsed INI file. Its methods look up typed values and collect all problems, which Err returns as one error.
type File struct {
	name      string
	ini       *ini.File
	knownKeys map[string]map[string]Key
	problems  []string
}

// Key describes a key that was looked up in a file.
type Key struct {
	Section string
	Name    string
	Default string // empty if there is none
	Allowed string // description of the accepted values
}

// New parses data; errors mention name as the file name and wrap ErrInvalid.
func New(name string, data []byte) (*File, error) {
	if len(data) > MaxBytes {
		return nil, fmt.Errorf("%s: file has %d bytes, at most %d are allowed: %w", name, len(data), MaxBytes, ErrInvalid)
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
	f := &File{name: name, ini: parsed, knownKeys: map[string]map[string]Key{}}
	f.recordDuplicates()
	return f, nil
}

// Err returns an error that lists all problems found so far and all sections and keys that were never looked up, or nil if
// there are none.
func (f *File) Err() error {
	problems := append([]string(nil), f.problems...)
	for _, section := range f.ini.Sections() {
		problems = append(problems, f.unknownKeys(section)...)
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

// SetDefault sets a key that the file does not have, as if the file had it.
func (f *File) SetDefault(section, key, value string) {
	if s := f.ini.Section(section); !s.HasKey(key) {
		_, _ = s.NewKey(key, value) // fails for an empty name only
	}
}

// SectionNames returns the sorted names of the sections with a header "[kind name]".
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

// AddProblem records a problem with the value of a key. The message says what is wrong and which values are accepted.
func (f *File) AddProblem(section, key, message string) {
	f.problems = append(f.problems, fmt.Sprintf("[%s] %s: %s", section, key, message))
}

// String returns the value of a key, or fallback if the key is absent.
func (f *File) String(section, key, fallback string) string {
	value, ok := f.lookup(Key{section, key, fallback, "text"})
	if !ok {
		return fallback
	}
	return value
}

// Required returns the value of a key and records a problem if the key is absent or empty.
func (f *File) Required(section, key, allowed string) string {
	value, _ := f.lookup(Key{section, key, "", allowed + "; required"})
	if value == "" {
		f.AddProblem(section, key, "is missing; allowed: "+allowed)
	}
	return value
}

// Choice returns the value of a key, or fallback if the key is absent or the value is not one of allowed.
func (f *File) Choice(section, key, fallback string, allowed ...string) string {
	value, ok := f.lookup(Key{section, key, fallback, strings.Join(allowed, ", ")})
	if !ok {
		return fallback
	}
	for _, choice := range allowed {
		if value == choice {
			return value
		}
	}
	f.AddProblem(section, key, fmt.Sprintf("%q is not allowed; allowed: %s", value, strings.Join(allowed, ", ")))
	return fallback
}

// Int returns an integer from low to high, or fallback if the key is absent or its value is invalid.
func (f *File) Int(section, key string, fallback, low, high int64) int64 {
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	text, ok := f.lookup(Key{section, key, strconv.FormatInt(fallback, 10), allowed})
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

// Float returns a number from low to high, or fallback if the key is absent or its value is invalid.
func (f *File) Float(section, key string, fallback, low, high float64) float64 {
	allowed := fmt.Sprintf("a number from %g to %g", low, high)
	text, ok := f.lookup(Key{section, key, fmt.Sprintf("%g", fallback), allowed})
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

// Duration returns a duration from low to high, or fallback if the key is absent or its value is invalid.
func (f *File) Duration(section, key string, fallback, low, high time.Duration) time.Duration {
	allowed := fmt.Sprintf("a duration from %s to %s", low, high)
	text, ok := f.lookup(Key{section, key, fallback.String(), allowed})
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

// Address returns an IP address with a port, or fallback if the key is absent or its value is invalid.
func (f *File) Address(section, key, fallback string) string {
	text, ok := f.lookup(Key{section, key, fallback, addressAllowed})
	if !ok {
		return fallback
	}
	if !validAddress(text) {
		f.AddProblem(section, key, fmt.Sprintf("%q is not allowed; allowed: %s", text, addressAllowed))
		return fallback
	}
	return text
}

// List returns the comma-separated values of a key without empty ones.
func (f *File) List(section, key string) []string {
	return f.splitList(Key{section, key, "", "text, separated by commas"})
}

func (f *File) splitList(key Key) []string {
	text, _ := f.lookup(key)
	var items []string
	for _, item := range strings.Split(text, ",") {
		item = strings.TrimSpace(item)
		if item != "" {
			items = append(items, item)
		}
	}
	return items
}

// Addresses returns the comma-separated values of a key, each of which must be an IP address with a port.
func (f *File) Addresses(section, key string) []string {
	items := f.splitList(Key{section, key, "", addressesAllowed})
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

// lookup returns the value of a key and records the key as known. The description of the first lookup is kept, so a key can
// be looked up with Required first and then with the method for its type.
func (f *File) lookup(key Key) (string, bool) {
	keys := f.knownKeys[key.Section]
	if keys == nil {
		keys = map[string]Key{}
		f.knownKeys[key.Section] = keys
	}
	if _, ok := keys[key.Name]; !ok {
		keys[key.Name] = key
	}
	section, err := f.ini.GetSection(key.Section)
	if err != nil || !section.HasKey(key.Name) {
		return "", false
	}
	return strings.TrimSpace(section.Key(key.Name).Value()), true
}

// Keys returns the keys that were looked up so far, sorted by section and name.
func (f *File) Keys() []Key {
	var all []Key
	for _, keys := range f.knownKeys {
		all = slices.AppendSeq(all, maps.Values(keys))
	}
	slices.SortFunc(all, func(a, b Key) int {
		return cmp.Or(strings.Compare(a.Section, b.Section), strings.Compare(a.Name, b.Name))
	})
	return all
}

// recordDuplicates records a problem for each section and key that occurs more than once.
func (f *File) recordDuplicates() {
	seen := map[string]bool{}
	for _, section := range f.ini.Sections() {
		if seen[section.Name()] {
			f.problems = append(f.problems, fmt.Sprintf("[%s]: duplicate section", section.Name()))
		}
		seen[section.Name()] = true
		for _, key := range section.Keys() {
			if len(key.ValueWithShadows()) > 1 {
				f.AddProblem(section.Name(), key.Name(), "duplicate key")
			}
		}
	}
}

// unknownKeys returns a problem for each key of a section that was never looked up, or one for the whole section.
func (f *File) unknownKeys(section *ini.Section) []string {
	keys, ok := f.knownKeys[section.Name()]
	if !ok && len(section.Keys()) == 0 && section.Name() == ini.DefaultSection {
		return nil
	}
	if !ok {
		return []string{fmt.Sprintf("[%s]: unknown section", section.Name())}
	}
	var problems []string
	for _, key := range section.Keys() {
		if _, ok := keys[key.Name()]; !ok {
			problems = append(problems, fmt.Sprintf("[%s] %s: unknown key; allowed: %s", section.Name(), key.Name(), joinKeyNames(keys)))
		}
	}
	return problems
}

func joinKeyNames(keys map[string]Key) string {
	return strings.Join(slices.Sorted(maps.Keys(keys)), ", ")
}
