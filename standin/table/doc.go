// Package table is a stand-in for the platform's transactional table service and its object store.
package table
