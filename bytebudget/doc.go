// Package bytebudget accounts for the bytes that a process holds for requests and bounds them, fairly among teams.
package bytebudget
