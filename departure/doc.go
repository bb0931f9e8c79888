// Package departure remembers which targets have left, so that a store that has come back from an older copy does not bring
// them back into use.
package departure
