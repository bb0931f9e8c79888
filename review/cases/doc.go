// Package cases holds the scripts of the review: stand-ins for the platform's store, replicas and requesters, and one test for each case.
package cases
