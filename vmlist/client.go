package vmlist

import (
	"context"
	"time"

	"gypsumbank/jsonclient"
)

const (
	// Entry is the role of a VM that serves callers.
	Entry = "entry"
	// Model is the role of a VM with a model engine.
	Model = "model"
	// Service is the role of a VM with a plain service.
	Service = "service"

	timeout = 2 * time.Second
)

// VM is one machine of the list.
type VM struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	Role             string `json:"role"`
	Service          string `json:"service,omitempty"`
	Leaving          bool   `json:"leaving"`
}

// Client reads the list, which lags behind the machines.
type Client struct {
	http *jsonclient.Client
}

// New returns a client of the list at address.
func New(address string) *Client { return &Client{http: jsonclient.New(address)} }

// VMs returns the live and leaving VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var vms []VM
	err := c.http.Do(ctx, "GET", "/vms", nil, &vms)
	return vms, err
}
