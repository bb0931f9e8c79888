// Package site provides test doubles of the platform's store and of targets, with faults that a test can inject.
package site
