// Package table simulates the platform's transactional table service and its object store, in memory.
package table
