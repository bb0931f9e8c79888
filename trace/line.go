package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

const maxLineBytes = 1 << 20

// line is one entry of a log.
type line struct {
	at     time.Time
	node   string
	text   string
	fields map[string]any
}

// field returns a field as text, empty if it is missing.
func (l *line) field(name string) string {
	value, ok := l.fields[name]
	if !ok || value == nil {
		return ""
	}
	if number, ok := value.(float64); ok {
		return fmt.Sprintf("%g", number)
	}
	return fmt.Sprint(value)
}

// ms returns a field with a number of ms as a duration.
func (l *line) ms(name string) time.Duration {
	number, _ := l.fields[name].(float64)
	return time.Duration(number * float64(time.Millisecond))
}

// inputs returns the fields that decided, by name.
func (l *line) inputs() string {
	var parts []string
	for name := range l.fields {
		switch name {
		case "request", "route", "kind", "service", "availability-zone":
		default:
			if value := l.field(name); value != "" {
				parts = append(parts, name+"="+value)
			}
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

// read returns the entries of a log in JSON and how many lines are none; text before the object is passed over, so that
// logs which a collector has prefixed can be read.
func read(log io.Reader) (lines []line, foreign int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l, ok := parse(scanner.Bytes())
		if !ok {
			foreign++
			continue
		}
		lines = append(lines, l)
	}
	return lines, foreign, scanner.Err()
}

func parse(text []byte) (line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return line{}, false
	}
	stamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	message, ok := fields["msg"].(string)
	if err != nil || !ok {
		return line{}, false
	}
	node, _ := fields["node"].(string)
	for _, name := range []string{"time", "msg", "node", "level"} {
		delete(fields, name)
	}
	return line{at: at, node: node, text: message, fields: fields}, true
}
