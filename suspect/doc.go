// Package suspect remembers request contents that were running when a target crashed.
package suspect
