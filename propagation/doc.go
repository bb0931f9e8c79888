// Package propagation divides the time within which a confirmed change of the routes must be in force among the steps on its way.
package propagation
