// Package inifile reads INI files strictly: every section and key must be known and every value valid.
package inifile
