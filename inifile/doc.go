// Package inifile reads typed values from INI files and rejects unknown or duplicate sections and keys and invalid values.
package inifile
