// Package notice holds what targets have said of themselves in their answers: a limit on requests, a time for which they want none,
// and that they leave.
package notice
