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

// logLine is one entry of a log; fields holds all but its time, message, node and level.
type logLine struct {
	time    time.Time
	node    string
	message string
	fields  map[string]any
}

// field returns a field as text, or "" if it is missing.
func (l *logLine) field(name string) string {
	value, ok := l.fields[name]
	if !ok || value == nil {
		return ""
	}
	if number, ok := value.(float64); ok {
		return fmt.Sprintf("%g", number)
	}
	return fmt.Sprint(value)
}

// duration returns a field that holds a number of milliseconds, or 0 if it is missing or no number.
func (l *logLine) duration(name string) time.Duration {
	number, _ := l.fields[name].(float64)
	return time.Duration(number * float64(time.Millisecond))
}

// inputs returns the fields that the logged decision was based on, as key=value pairs sorted by key. It leaves out the
// fields that only identify the request and its availability zone.
func (l *logLine) inputs() string {
	var parts []string
	for key := range l.fields {
		switch key {
		case "request", "route", "kind", "service", "availability-zone":
		default:
			if value := l.field(key); value != "" {
				parts = append(parts, key+"="+value)
			}
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

// readLog returns the entries of a log in JSON and the number of lines that are not such entries.
func readLog(log io.Reader) (lines []logLine, unparsed int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l, ok := parseLine(scanner.Bytes())
		if !ok {
			unparsed++
			continue
		}
		lines = append(lines, l)
	}
	return lines, unparsed, scanner.Err()
}

// parseLine parses a log entry. It skips text before the JSON object, because log collectors prefix their lines.
func parseLine(text []byte) (logLine, bool) {
	jsonStart := bytes.IndexByte(text, '{')
	if jsonStart < 0 {
		return logLine{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal(text[jsonStart:], &fields); err != nil {
		return logLine{}, false
	}
	timestamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	message, ok := fields["msg"].(string)
	if err != nil || !ok {
		return logLine{}, false
	}
	node, _ := fields["node"].(string)
	for _, name := range []string{"time", "msg", "node", "level"} {
		delete(fields, name)
	}
	return logLine{time: at, node: node, message: message, fields: fields}, true
}
