// Package footprint holds how much memory the models take that engines hold, also once the routes list them no more or with
// another size.
package footprint
