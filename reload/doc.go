// Package reload puts changed settings in force while a process runs.
package reload
