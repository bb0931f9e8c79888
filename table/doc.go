// Package table is a client for the platform's transactional table service.
package table
