// Package completion parses and checks requests for text and chat completions, and encodes answers, errors and lists of
// models in the JSON format that clients of such APIs expect.
package completion
