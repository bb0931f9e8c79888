// Package loader decides which models and adapters one engine holds, sends it load and unload orders and leases what it
// holds to requests.
package loader
