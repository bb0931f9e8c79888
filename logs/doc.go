// Package logs creates the logger of a process and a writer for it that limits the rate of lines and never blocks.
package logs
